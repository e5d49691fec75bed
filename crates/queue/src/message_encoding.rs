//! Encoding of a [`Message`], between stores and on disk.
//!
//! A message with neither a tenant nor an idempotency key is encoded as in earlier releases. A message with either sets
//! the highest bit of its time of acceptance, which no clock reaches, and has the fields unknown to earlier releases
//! after the body. An earlier release cannot decode such a message, so all stores must be upgraded before the
//! configuration names tenants.

use crate::message::Message;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Bit that is set in the time of acceptance if the last [`EXTENSION_FIELDS`] fields follow.
const EXTENSION_FLAG: u64 = 1 << 63;
/// Names of all fields, in the order in which they are encoded.
const FIELDS: &[&str] = &[
    "id",
    "host",
    "method",
    "target",
    "content_type",
    "callback_url",
    "ordering_key",
    "delay_ms",
    "accepted_at_ms",
    "config_revision",
    "body",
    "tenant",
    "idempotency_key",
    "shard_term",
];
/// Number of fields, at the end of [`FIELDS`], that are encoded only if [`EXTENSION_FLAG`] is set.
const EXTENSION_FIELDS: usize = 3;

impl Message {
    fn has_extension(&self) -> bool {
        self.tenant.is_some() || self.idempotency_key.is_some()
    }
}

impl Serialize for Message {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let has_extension = self.has_extension();
        let length = FIELDS.len() - if has_extension { 0 } else { EXTENSION_FIELDS };
        let flag = if has_extension { EXTENSION_FLAG } else { 0 };
        let mut fields = serializer.serialize_struct("Message", length)?;
        fields.serialize_field("id", &self.id)?;
        fields.serialize_field("host", &self.host)?;
        fields.serialize_field("method", &self.method)?;
        fields.serialize_field("target", &self.target)?;
        fields.serialize_field("content_type", &self.content_type)?;
        fields.serialize_field("callback_url", &self.callback_url)?;
        fields.serialize_field("ordering_key", &self.ordering_key)?;
        fields.serialize_field("delay_ms", &self.delay_ms)?;
        fields.serialize_field("accepted_at_ms", &(self.accepted_at_ms | flag))?;
        fields.serialize_field("config_revision", &self.config_revision)?;
        fields.serialize_field("body", &self.body)?;
        if has_extension {
            fields.serialize_field("tenant", &self.tenant)?;
            fields.serialize_field("idempotency_key", &self.idempotency_key)?;
            fields.serialize_field("shard_term", &self.shard_term)?;
        }
        fields.end()
    }
}

impl<'de> Deserialize<'de> for Message {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Message, D::Error> {
        deserializer.deserialize_struct("Message", FIELDS, MessageVisitor)
    }
}

struct MessageVisitor;

impl<'de> Visitor<'de> for MessageVisitor {
    type Value = Message;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("the fields of an encoded message")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Message, A::Error> {
        let mut message = Message {
            id: next_field(&mut fields)?,
            host: next_field(&mut fields)?,
            method: next_field(&mut fields)?,
            target: next_field(&mut fields)?,
            content_type: next_field(&mut fields)?,
            callback_url: next_field(&mut fields)?,
            ordering_key: next_field(&mut fields)?,
            delay_ms: next_field(&mut fields)?,
            accepted_at_ms: next_field(&mut fields)?,
            config_revision: next_field(&mut fields)?,
            body: next_field(&mut fields)?,
            ..Message::default()
        };
        if message.accepted_at_ms & EXTENSION_FLAG != 0 {
            message.accepted_at_ms &= !EXTENSION_FLAG;
            message.tenant = next_field(&mut fields)?;
            message.idempotency_key = next_field(&mut fields)?;
            message.shard_term = next_field(&mut fields)?;
        }
        Ok(message)
    }
}

fn next_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(fields: &mut A) -> Result<T, A::Error> {
    fields.next_element()?.ok_or_else(|| A::Error::custom("encoded message is truncated"))
}
