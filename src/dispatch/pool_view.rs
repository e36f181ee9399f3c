//! Snapshot of a pool for one scheduling round.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::sync::Arc;

use super::EndpointView;
use super::free_counts::FreeCounts;
use crate::port::Resources;

/// Fraction of the best speed below which an endpoint counts as slow; speeds within a pool differ by factors of 2 to 4.
const SLOW_SHARE: f64 = 0.55;

/// Most kinds of tasks for which the capacity of racks is kept; callers may ask for any.
const RACK_CAPACITIES_MAX: usize = 64;

/// Endpoints of a rack, and how many accelerators they have available.
#[derive(Debug, Clone, Default)]
pub(super) struct Rack {
    /// Indices of the endpoints, in ascending order.
    pub members: Vec<usize>,
    counts: FreeCounts,
    fast_counts: FreeCounts,
    /// Position in the order of the accelerators that the racks had available when they were counted.
    place: usize,
}

/// The endpoints of a pool that accept new work, ordered by name.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolView {
    views: Vec<EndpointView>,
    racks: Vec<Rack>,
    /// Index of the rack of each endpoint.
    rack_of: Vec<usize>,
    counts: FreeCounts,
    fast_counts: FreeCounts,
    slow_below: f64,
    idle: bool,
    /// Most tasks that an empty rack holds, by what a task needs and the label that it requires.
    rack_capacities: RefCell<Vec<(Resources, String, u32)>>,
    /// Revision of the list of endpoints from which it was made.
    pub revision: u64,
}

impl PoolView {
    /// Groups endpoints, which are ordered by name, by rack; those without a rack form one group.
    /// [`count`](Self::count) has to follow.
    pub fn new(views: Vec<EndpointView>, revision: u64) -> Self {
        let mut racks: BTreeMap<Option<Arc<str>>, Rack> = BTreeMap::new();
        for (index, view) in views.iter().enumerate() {
            racks.entry(view.rack.clone()).or_default().members.push(index);
        }
        let racks: Vec<Rack> = racks.into_values().collect();
        let mut rack_of = vec![0; views.len()];
        for (index, rack) in racks.iter().enumerate() {
            for member in &rack.members {
                rack_of[*member] = index;
            }
        }
        Self {
            views,
            racks,
            rack_of,
            revision,
            ..Self::default()
        }
    }

    /// The endpoints, to bring them up to date at the start of a round; [`count`](Self::count) has to follow.
    pub fn views_mut(&mut self) -> &mut [EndpointView] {
        &mut self.views
    }

    /// Counts what is available on all endpoints.
    pub fn count(&mut self) {
        let (mut free, mut whole) = (Resources::default(), Resources::default());
        let mut best_speed: f64 = 0.0;
        for view in &self.views {
            free = free.plus(&view.free);
            whole = whole.plus(&view.capacity);
            best_speed = best_speed.max(view.speed);
        }
        self.idle = free.accelerators > whole.accelerators / 2 || free.millicores > whole.millicores / 2;
        self.slow_below = best_speed * SLOW_SHARE;
        self.counts = FreeCounts::default();
        self.fast_counts = FreeCounts::default();
        for rack in &mut self.racks {
            rack.counts = FreeCounts::default();
            rack.fast_counts = FreeCounts::default();
        }
        self.order_racks();
        for index in 0..self.views.len() {
            self.change_counts(index, FreeCounts::add);
        }
    }

    /// Orders the racks by their available accelerators.
    fn order_racks(&mut self) {
        let available = |rack: &Rack| {
            let views = rack.members.iter().map(|index| &self.views[*index]);
            let accelerators = views.map(|view| view.available().accelerators);
            accelerators.fold(0, u64::saturating_add)
        };
        let mut order: Vec<(u64, usize)> = self.racks.iter().map(available).zip(0..).collect();
        order.sort_unstable();
        for (place, (_, rack)) in order.into_iter().enumerate() {
            self.racks[rack].place = place;
        }
    }

    /// Number of endpoints of which all accelerators are available.
    pub fn empty_endpoints(&self) -> usize {
        self.views.iter().filter(|view| view.is_empty()).count()
    }

    /// Position of the rack of an endpoint in the order of available accelerators at the start of the round.
    pub fn rack_place(&self, index: usize) -> usize {
        self.racks[self.rack_of[index]].place
    }

    fn change_counts<F>(&mut self, index: usize, change: F)
    where
        F: Fn(&mut FreeCounts, u64),
    {
        let view = &self.views[index];
        let accelerators = view.available().accelerators;
        let rack = &mut self.racks[self.rack_of[index]];
        change(&mut self.counts, accelerators);
        change(&mut rack.counts, accelerators);
        if view.speed >= self.slow_below {
            change(&mut self.fast_counts, accelerators);
            change(&mut rack.fast_counts, accelerators);
        }
    }

    /// Racks.
    pub fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Groups of endpoints that may hold a unit: the racks for an adjacent unit, otherwise the whole pool.
    pub fn groups(&self, adjacent: bool) -> Vec<Vec<usize>> {
        if adjacent {
            self.racks.iter().map(|rack| rack.members.clone()).collect()
        } else {
            vec![(0..self.views.len()).collect()]
        }
    }

    /// Most tasks that a rack would hold if it were empty, on endpoints with a label.
    pub fn rack_capacity(&self, need: &Resources, label: &str) -> u32 {
        let mut known = self.rack_capacities.borrow_mut();
        if let Some((.., tasks)) = known.iter().find(|(of, on, _)| of == need && on == label) {
            return *tasks;
        }
        let holds = |rack: &Rack| {
            let views = rack.members.iter().map(|index| &self.views[*index]);
            let labelled = views.filter(|view| view.has_label(label));
            let tasks = labelled.map(|view| view.capacity.fit_count(need, u32::MAX));
            tasks.fold(0, u32::saturating_add)
        };
        let most = self.racks.iter().map(holds).max().unwrap_or(0);
        if known.len() >= RACK_CAPACITIES_MAX {
            known.clear();
        }
        known.push((*need, label.to_owned(), most));
        most
    }

    /// Index of the endpoint with a name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.views.binary_search_by(|view| (*view.name).cmp(name)).ok()
    }

    /// Whether `count` tasks with that many accelerators each may fit into what is available, on fast endpoints only if
    /// `fast`; `false` is certain.
    pub fn may_fit(&self, accelerators: u64, count: u32, fast: bool) -> bool {
        let counts = if fast { &self.fast_counts } else { &self.counts };
        counts.may_fit(accelerators, count)
    }

    /// The same within the rack at `index`.
    pub fn may_fit_rack(&self, index: usize, accelerators: u64, count: u32, fast: bool) -> bool {
        let rack = &self.racks[index];
        let counts = if fast { &rack.fast_counts } else { &rack.counts };
        counts.may_fit(accelerators, count)
    }

    /// Whether more than half of the accelerators, or of the processor share, is free.
    pub fn is_idle(&self) -> bool {
        self.idle
    }

    /// Speed below which an endpoint counts as slow.
    pub fn slow_below(&self) -> f64 {
        self.slow_below
    }

    /// Books a task that was placed on an endpoint.
    pub fn take(&mut self, index: usize, need: &Resources) {
        self.change_counts(index, FreeCounts::remove);
        let view = &mut self.views[index];
        view.free = view.free.minus(need);
        self.change_counts(index, FreeCounts::add);
    }

    /// Sets the resources of some tasks aside on an endpoint, or releases them.
    pub fn claim(&mut self, index: usize, need: &Resources, tasks: u32, release: bool) {
        self.change_counts(index, FreeCounts::remove);
        let view = &mut self.views[index];
        for _ in 0..tasks {
            view.claimed = if release {
                view.claimed.minus(need)
            } else {
                view.claimed.plus(need)
            };
        }
        self.change_counts(index, FreeCounts::add);
    }

    /// Reserves an endpoint from `start_at` on, unless it is reserved from an earlier time.
    pub fn reserve(&mut self, index: usize, start_at: u64) {
        let view = &mut self.views[index];
        if view.reserved_from == 0 || view.reserved_from > start_at {
            view.reserved_from = start_at;
        }
    }
}

impl Deref for PoolView {
    type Target = [EndpointView];

    fn deref(&self) -> &[EndpointView] {
        &self.views
    }
}
