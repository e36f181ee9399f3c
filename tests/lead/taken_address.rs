//! Endpoints whose address another incarnation has.

use prost::Message;
use yuccaridge::graph::{JobRecord, Phase, Place, UnitRecord};
use yuccaridge::lead::encode_phase;

use crate::world::{BORN, Instance, put_job_rows, put_leader_rows, run_in_virtual_time, sleep_ms, store};

/// Guards against a leader that waits for the leases of an endpoint although its holds are answered by another one that
/// has its address.
#[test]
fn work_of_a_replaced_endpoint_is_started_again_soon_after_a_takeover() {
    run_in_virtual_time(async {
        let store = store();
        let place = Place {
            endpoint: "e1".to_owned(),
            born: BORN,
        };
        let unit = UnitRecord {
            run: 1,
            places: [(0, place)].into(),
            ..UnitRecord::default()
        };
        let record = JobRecord { units: vec![unit] };
        let phase = encode_phase(Phase::Running, "");
        put_job_rows(&store, "00000000000000aa", phase, record.encode_to_vec());
        put_leader_rows(&store, "former", 3, 500);
        for endpoint in ["e1", "e2"] {
            store.put("endpoints", endpoint, Vec::new());
        }

        let only = Instance::start(&store, "only", 500);
        only.answer_holds();
        only.replace_endpoint("e1");
        sleep_ms(5_000).await;

        // No start reaches an endpoint here, so it is repeated.
        assert_eq!(
            only.starts().first().map(|task| &**task),
            Some("00000000000000aa.0.0.0")
        );
    });
}
