//! Rendezvous hashing.

use sha2::{Digest, Sha256};

use crate::name::InstanceName;

/// The instance among `live` that should hold `subject`, such as the name of a pool. Every observer with the same set
/// of instances gets the same result, and the loss of an instance moves only the subjects that it held.
pub fn owner_of<'a, I>(subject: &str, live: I) -> Option<InstanceName>
where
    I: IntoIterator<Item = &'a InstanceName>,
{
    let mut best = None;
    for instance in live {
        let mut hasher = Sha256::new();
        hasher.update(subject.as_bytes());
        hasher.update([0]);
        hasher.update(instance.as_str().as_bytes());
        let score = (hasher.finalize(), instance);
        if best.as_ref().is_none_or(|best| score > *best) {
            best = Some(score);
        }
    }
    best.map(|(_, instance)| instance.clone())
}
