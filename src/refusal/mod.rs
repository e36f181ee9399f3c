//! Decides what becomes of a submission that this instance cannot answer.
//!
//! It answers one pattern of load: some instances lose the store, or a part of them is turned away by it, while the
//! others reach it, and callers keep arriving at all of them. Such an instance offers the submission once to one that
//! can answer it. When the store is lost to all, nothing is gained by that, and callers are refused at once.
//!
//! What is refused has not run: [`Verdict::of`] turns a refusal into an unknown outcome as soon as one of the two
//! attempts may have stored the job. A submission may be attempted at two instances, since the job's row is written on
//! the condition that it is absent: both write the same job, and only the first write applies.

mod fate;
mod offer_policy;
mod reach;
mod verdict;

pub use fate::Fate;
pub use offer_policy::{Attempt, Offer, OfferPolicy};
pub use reach::Reach;
pub use verdict::Verdict;
