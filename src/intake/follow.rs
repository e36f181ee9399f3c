//! Task that follows changes of the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::ConfigView;
use crate::evacuation::Evacuations;
use crate::port::{EntryDecoder, Range, Row, RowStore, StoreError};

/// Maximum wait of the store for a change in one call. Together with the duration of a call it limits the time between
/// confirmations.
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Time beyond [`POLL_WAIT`] after which a call counts as lost. On a store that is sixty times slower than usual a call
/// takes about 250 ms.
const CALL_GRACE: Duration = Duration::from_millis(350);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Keeps `view` up to date; never returns.
pub async fn follow_config<R, E>(rows: R, entries: E, view: Rc<ConfigView>)
where
    R: RowStore,
    E: EntryDecoder,
{
    let table = entries.config_table();
    let mut version = None;
    let mut failing = false;
    loop {
        let read = match version {
            None => rows
                .read_all(Range::all(table))
                .await
                .map(|page| (page.rows, page.version, page.clock_ms)),
            Some(known_version) => {
                let Ok(changed) = timeout(POLL_WAIT + CALL_GRACE, rows.changes(table, known_version, POLL_WAIT)).await
                else {
                    // The change feed can hang while reads still work.
                    view.lose();
                    version = None;
                    continue;
                };
                changed.map(|changes| (changes.rows, changes.version, changes.clock_ms))
            }
        };
        match read {
            Ok((changed, read_version, clock_ms)) => {
                if failing {
                    log::info!("following the configuration again");
                    failing = false;
                }
                let complete = version.replace(read_version).is_none();
                apply_changes(&entries, &view, &changed, complete);
                view.confirm(clock_ms);
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                view.lose();
                if !failing {
                    log::warn!(error:% = error, age_ms:? = view.age_ms(); "cannot read the configuration; retrying");
                    failing = true;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies rows of the configuration's table: all of them if `complete`, else those that have changed.
fn apply_changes<E>(entries: &E, view: &ConfigView, rows: &[Row], complete: bool)
where
    E: EntryDecoder,
{
    let mut evacuations = Evacuations::default();
    if !complete {
        evacuations = Evacuations::clone(&view.evacuations());
    }
    for row in rows {
        let Some(domain) = entries.decode_evacuation(row) else {
            continue;
        };
        if row.value.is_some() {
            evacuations.close(domain);
        } else {
            evacuations.open(&domain);
        }
    }
    view.close_domains(evacuations);
    for row in rows {
        match entries.decode_config(row) {
            Ok(Some(config)) => view.update(config),
            Ok(None) => {}
            Err(error) => log::error!(key:% = row.key, error; "cannot decode the configuration"),
        }
    }
}
