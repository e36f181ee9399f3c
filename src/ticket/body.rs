//! A ticket as sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BODY_BYTES_MAX, InvalidTicket};
use crate::name::{KindName, PoolName, TeamName};
use crate::platform::{Key, Put};
use crate::row::{ObjectRow, key};
use crate::team::{Kind, Object, Pool, Team};

/// Objects by sort and name; `null` removes one.
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
    /// What it sets.
    pub objects: Changes,
}

fn put_object(key: Key, number: u64, object: Option<Object>) -> Put {
    Put {
        key,
        value: Some(serde_json::json!(ObjectRow { number, object })),
    }
}

impl Ticket {
    /// Reads a body.
    pub fn parse(body: &[u8]) -> Result<Self, InvalidTicket> {
        if body.len() > BODY_BYTES_MAX {
            return Err(InvalidTicket::TooLarge(body.len()));
        }
        serde_json::from_slice(body).map_err(|error| InvalidTicket::Unreadable(error.to_string()))
    }

    /// Number of objects that it sets or removes.
    pub fn len(&self) -> usize {
        self.objects.team.len() + self.objects.kind.len() + self.objects.pool.len()
    }

    /// Whether it touches nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The configuration rows that it writes.
    pub fn puts(&self, number: u64) -> Vec<Put> {
        let mut puts = Vec::with_capacity(self.len());
        for (name, team) in &self.objects.team {
            puts.push(put_object(
                key::object("team", name),
                number,
                team.clone().map(Object::Team),
            ));
        }
        for (name, kind) in &self.objects.kind {
            puts.push(put_object(
                key::object("kind", name),
                number,
                kind.clone().map(Object::Kind),
            ));
        }
        for (name, pool) in &self.objects.pool {
            puts.push(put_object(
                key::object("pool", name),
                number,
                pool.clone().map(Object::Pool),
            ));
        }
        puts
    }
}
