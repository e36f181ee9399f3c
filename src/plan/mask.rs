//! Buddy allocation of an endpoint's accelerators, kept as bits of a mask.
//!
//! A block of 1, 2, 4, 8 ... accelerators starts at a multiple of its size. Blocks split and merge implicitly, since a
//! mask records only which accelerators are free. Best fit takes the block with the fewest free accelerators around it,
//! so that large blocks stay whole.

/// Maximum number of accelerators used on one endpoint; further ones stay unused.
pub const ACCELERATORS_MAX: u16 = 64;

/// Mask of the first `count` accelerators.
pub(super) fn first(count: u16) -> u64 {
    match count {
        0 => 0,
        1..ACCELERATORS_MAX => (1 << count) - 1,
        _ => u64::MAX,
    }
}

/// The lowest `size` set bits of a mask.
pub(super) fn lowest(mut mask: u64, size: u32) -> u64 {
    let mut taken = 0;
    for _ in 0..size {
        let bit = mask & mask.wrapping_neg();
        taken |= bit;
        mask &= !bit;
    }
    taken
}

fn block(offset: u32, size: u32) -> u64 {
    if size >= u64::BITS {
        return u64::MAX;
    }
    ((1 << size) - 1) << offset
}

/// Counts of free accelerators in the block and in each larger block around it, packed into a sort key with the
/// smallest block in the highest bits.
fn surroundings(free: u64, offset: u32, size: u32) -> u64 {
    let mut key = 0;
    let mut span = size;
    while span <= u64::BITS {
        let around = block(offset / span * span, span);
        key = (key << 7) | u64::from((free & around).count_ones());
        span *= 2;
    }
    key
}

/// `size` accelerators of `free` from the best-fitting aligned block.
pub(super) fn aligned(free: u64, size: u32) -> Option<u64> {
    if size == 0 || free.count_ones() < size {
        return None;
    }
    let span = size.next_power_of_two();
    let mut best = None;
    for offset in (0..u64::BITS).step_by(span as usize) {
        let inside = free & block(offset, span);
        if inside.count_ones() < size {
            continue;
        }
        let key = surroundings(free, offset, span);
        if best.is_none_or(|(least, _)| key < least) {
            best = Some((key, lowest(inside, size)));
        }
    }
    best.map(|(_, mask)| mask)
}

/// `size` accelerators from the best-fitting block, or scattered ones if no block has as many free.
pub(super) fn pick(free: u64, size: u32) -> Option<u64> {
    if size == 0 {
        return Some(0);
    }
    if free.count_ones() < size {
        return None;
    }
    if let Some(mask) = aligned(free, size) {
        return Some(mask);
    }
    let mut taken = 0;
    for _ in 0..size {
        taken |= aligned(free & !taken, 1)?;
    }
    Some(taken)
}

/// Indices of the set bits.
pub(super) fn indices(mut mask: u64) -> Vec<u16> {
    let mut all = Vec::with_capacity(mask.count_ones() as usize);
    while mask != 0 {
        all.push(mask.trailing_zeros() as u16);
        mask &= mask - 1;
    }
    all
}

/// Mask with the bits of the given indices set.
pub(super) fn from_indices(indices: &[u16]) -> u64 {
    let mut mask = 0;
    for &index in indices {
        if index < ACCELERATORS_MAX {
            mask |= 1 << index;
        }
    }
    mask
}
