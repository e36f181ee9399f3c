//! The body of a change ticket.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BODY_BYTES_MAX, InvalidTicket};
use crate::name::{KindName, PoolName, TeamName};
use crate::platform::{Key, Put};
use crate::row::{ConfigObjectRow, key};
use crate::team::{Kind, Object, Pool, Team};

/// New states of objects by type and name; `null` removes the object.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Teams.
    #[serde(default)]
    pub team: BTreeMap<TeamName, Option<Team>>,
    /// Kinds of jobs.
    #[serde(default)]
    pub kind: BTreeMap<KindName, Option<Kind>>,
    /// Pools.
    #[serde(default)]
    pub pool: BTreeMap<PoolName, Option<Pool>>,
}

/// The body of a change ticket.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Objects to set or remove.
    pub objects: Changes,
}

fn put_object(key: Key, number: u64, object: Option<Object>) -> Put {
    Put {
        key,
        value: Some(serde_json::json!(ConfigObjectRow { number, object })),
    }
}

impl Ticket {
    /// Parses a body.
    pub fn parse(body: &[u8]) -> Result<Self, InvalidTicket> {
        if body.len() > BODY_BYTES_MAX {
            return Err(InvalidTicket::TooLarge(body.len()));
        }
        serde_json::from_slice(body).map_err(|error| InvalidTicket::Unreadable(error.to_string()))
    }

    /// Number of objects that the ticket sets or removes.
    pub fn len(&self) -> usize {
        self.objects.team.len() + self.objects.kind.len() + self.objects.pool.len()
    }

    /// Whether the ticket changes no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes of the configuration rows; `number` is the ticket's number.
    pub fn puts(&self, number: u64) -> Vec<Put> {
        let mut puts = Vec::with_capacity(self.len());
        for (name, team) in &self.objects.team {
            puts.push(put_object(
                key::config_object("team", name),
                number,
                team.clone().map(Object::Team),
            ));
        }
        for (name, kind) in &self.objects.kind {
            puts.push(put_object(
                key::config_object("kind", name),
                number,
                kind.clone().map(Object::Kind),
            ));
        }
        for (name, pool) in &self.objects.pool {
            puts.push(put_object(
                key::config_object("pool", name),
                number,
                pool.clone().map(Object::Pool),
            ));
        }
        puts
    }
}
