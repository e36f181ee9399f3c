//! Assembly of a call's answer from its parts.

use serde_json::json;
use yuccaridge::call::Assembly;
use yuccaridge::job::Outcome;
use yuccaridge::platform::CallPart;

use crate::world::job_id;

fn part(attempt: u32, sequence: u32, count: u32) -> CallPart {
    CallPart {
        job: job_id("j"),
        attempt,
        sequence,
        last: sequence + 1 == count,
        failed: false,
        data: json!([attempt, sequence]),
    }
}

/// Guards against answers that are incomplete, out of order or mixed from several attempts, for any sequence of parts.
#[test]
fn an_answer_is_complete_ordered_and_of_one_attempt() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=6)?;
        let mut assembly = Assembly::new(job_id("j"), 2);
        let mut seen = std::collections::BTreeSet::new();
        for _ in 0..u.int_in_range(0..=30)? {
            let (attempt, sequence) = (u.int_in_range(1..=3)?, u.int_in_range(0..=count - 1)?);
            let fresh = attempt == 2 && seen.insert(sequence);
            assert_eq!(assembly.add(part(attempt, sequence, count)), fresh);
        }
        let answer: Vec<_> = (0..count).map(|sequence| json!([2, sequence])).collect();
        let answer = if count == 1 { answer[0].clone() } else { json!(answer) };
        let expected = (seen.len() == count as usize).then_some(Outcome::Completed { answer });
        assert_eq!(assembly.finish(), expected);
        Ok(())
    });
}

/// Guards against parts of another job, parts beyond the last one, and two different last parts.
#[test]
fn parts_of_other_jobs_and_beyond_the_end_are_dropped() {
    let mut assembly = Assembly::new(job_id("j"), 1);
    let foreign = CallPart {
        job: job_id("k"),
        ..part(1, 0, 2)
    };

    assert!(!assembly.add(foreign));
    assert!(assembly.add(part(1, 1, 2)));
    assert!(!assembly.add(part(1, 2, 9)));
    assert!(!assembly.add(part(1, 0, 1)));
    assert!(assembly.add(part(1, 0, 2)));
    assert!(matches!(assembly.finish(), Some(Outcome::Completed { .. })));
}
