//! The bytes of a [`Message`], between stores and on disk.
//!
//! A message without a tenant and without an idempotency key has the bytes that earlier releases write and read. One that has either
//! says so in the highest bit of its time of acceptance, which no clock reaches, and has the fields that earlier releases don't know
//! behind the body. An earlier release that is sent such a message can't read it: a fleet is upgraded before its configuration names
//! tenants.

use crate::message::Message;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Set in the time of acceptance where the fields in [`EXTENSION_FIELDS`] follow.
const EXTENSION_FLAG: u64 = 1 << 63;
/// All fields, in their order on the wire.
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
/// How many of them are written only behind the flag.
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
        formatter.write_str("the fields of a message")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Message, A::Error> {
        let mut message = Message {
            id: next(&mut fields)?,
            host: next(&mut fields)?,
            method: next(&mut fields)?,
            target: next(&mut fields)?,
            content_type: next(&mut fields)?,
            callback_url: next(&mut fields)?,
            ordering_key: next(&mut fields)?,
            delay_ms: next(&mut fields)?,
            accepted_at_ms: next(&mut fields)?,
            config_revision: next(&mut fields)?,
            body: next(&mut fields)?,
            ..Message::default()
        };
        if message.accepted_at_ms & EXTENSION_FLAG != 0 {
            message.accepted_at_ms &= !EXTENSION_FLAG;
            message.tenant = next(&mut fields)?;
            message.idempotency_key = next(&mut fields)?;
            message.shard_term = next(&mut fields)?;
        }
        Ok(message)
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(fields: &mut A) -> Result<T, A::Error> {
    fields.next_element()?.ok_or_else(|| A::Error::custom("a message that ends early"))
}
