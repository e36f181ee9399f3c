//! Protobuf encoding of the frames.

use std::collections::BTreeMap;
use std::time::Instant;

use prost::{Message as _, Oneof};

use super::{ConnectionError, Head, Hello, Message, ReceivedMessage};
use crate::name::{EndpointName, InstanceName, JobId, PoolName};

/// Limit on entries of `Load` in one frame. A name has at most 64 bytes, so 200 entries fit into the largest frame.
pub(super) const LOAD_ENTRIES_MAX: usize = 200;

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Frame {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum Body {
    #[prost(message, tag = "1")]
    Hello(HelloBody),
    #[prost(message, tag = "2")]
    Head(HeadBody),
    #[prost(message, tag = "3")]
    Wake(WakeBody),
    #[prost(message, tag = "4")]
    Ended(EndedBody),
    #[prost(message, tag = "5")]
    Load(LoadBody),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HelloBody {
    #[prost(string, tag = "1")]
    pub instance: String,
    #[prost(string, tag = "2")]
    pub boot: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HeadBody {
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    #[prost(bool, tag = "2")]
    pub table: bool,
    #[prost(bool, tag = "3")]
    pub session: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WakeBody {
    #[prost(string, tag = "1")]
    pub pool: String,
    #[prost(string, tag = "2")]
    pub job: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct EndedBody {
    #[prost(string, tag = "1")]
    pub job: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LoadBody {
    #[prost(message, repeated, tag = "1")]
    pub endpoints: Vec<LoadEntry>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LoadEntry {
    #[prost(string, tag = "1")]
    pub endpoint: String,
    #[prost(uint32, tag = "2")]
    pub calls: u32,
}

impl Hello {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = Body::Hello(HelloBody {
            instance: self.instance.to_string(),
            boot: self.boot.clone(),
        });
        Frame { body: Some(body) }.encode_to_vec()
    }
}

impl Message {
    /// Encodes the message as one frame, or as several for a long `Load`.
    pub(super) fn encode(&self) -> Vec<Vec<u8>> {
        let mut frames = Vec::new();
        for body in self.bodies() {
            frames.push(Frame { body: Some(body) }.encode_to_vec());
        }
        frames
    }

    fn bodies(&self) -> Vec<Body> {
        match self {
            Self::Head(head) => vec![Body::Head(HeadBody {
                ticket: head.ticket,
                table: head.table,
                session: head.session,
            })],
            Self::Wake { pool, job } => vec![Body::Wake(WakeBody {
                pool: pool.to_string(),
                job: job.to_string(),
            })],
            Self::Ended(job) => vec![Body::Ended(EndedBody { job: job.to_string() })],
            Self::Load(load) => {
                let mut entries = Vec::new();
                for (endpoint, calls) in load {
                    let endpoint = endpoint.to_string();
                    entries.push(LoadEntry {
                        endpoint,
                        calls: *calls,
                    });
                }
                let mut bodies = Vec::new();
                for part in entries.chunks(LOAD_ENTRIES_MAX) {
                    bodies.push(Body::Load(LoadBody {
                        endpoints: part.to_vec(),
                    }));
                }
                bodies
            }
        }
    }
}

/// Decodes a frame; `None` if it is empty or has content that only a newer release knows.
pub(super) fn decode(bytes: &[u8]) -> Result<Option<Decoded>, ConnectionError> {
    let decoded = match Frame::decode(bytes)?.body {
        None => return Ok(None),
        Some(Body::Hello(hello)) => Decoded::Hello(Hello {
            instance: InstanceName::new(hello.instance)?,
            boot: hello.boot,
        }),
        Some(Body::Head(head)) => Decoded::Message(Message::Head(Head {
            ticket: head.ticket,
            table: head.table,
            session: head.session,
        })),
        Some(Body::Wake(wake)) => Decoded::Message(Message::Wake {
            pool: PoolName::new(wake.pool)?,
            job: JobId::new(wake.job)?,
        }),
        Some(Body::Ended(ended)) => Decoded::Message(Message::Ended(JobId::new(ended.job)?)),
        Some(Body::Load(load)) => {
            let mut endpoints = BTreeMap::new();
            for entry in load.endpoints {
                endpoints.insert(EndpointName::new(entry.endpoint)?, entry.calls);
            }
            Decoded::Message(Message::Load(endpoints))
        }
    };
    Ok(Some(decoded))
}

/// Decoded content of a frame.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Decoded {
    Hello(Hello),
    Message(Message),
}

impl Decoded {
    /// Adds the sender and the time of receipt to a message.
    pub fn into_received(self, sender: &Hello) -> Result<ReceivedMessage, ConnectionError> {
        match self {
            Self::Hello(_) => Err(ConnectionError::UnexpectedFrame),
            Self::Message(message) => Ok(ReceivedMessage {
                from: sender.clone(),
                message,
                received_at: Instant::now(),
            }),
        }
    }
}
