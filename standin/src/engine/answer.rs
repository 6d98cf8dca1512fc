//! Answers that tell which request, model and prompt they belong to.

use std::io;
use std::time::Duration;

use basilgw::ids::{AdapterId, ModelId, RequestId, Text};
use basilgw::units::Tokens;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::history::Echo;

/// Bytes of prompt that count as one token.
const TOKEN_BYTES: u64 = 4;

/// Bytes of the prompt that name its prefix.
const PREFIX_BYTES: usize = 256;

/// Tokens generated where the request names no limit.
const DEFAULT_TOKENS: u64 = 16;

/// Hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 32;

/// What the engine reads of a request; the rest is ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    model: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    max_tokens: Option<u64>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
}

impl Completion {
    /// Text of the prompt or the messages.
    pub fn text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Value::String(text), _) => text.clone(),
            (_, messages) => messages.to_string(),
        }
    }

    /// Name of the model, without an adapter.
    pub fn model(&self) -> Option<ModelId> {
        self.model.split('/').next()?.parse().ok()
    }

    /// Tokens to generate.
    pub fn output(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Prompt and generated tokens.
    pub fn tokens(&self) -> Tokens {
        Tokens((self.text().len() as u64).div_ceil(TOKEN_BYTES) + self.output())
    }

    /// Digest of the prompt.
    pub fn digest(&self) -> Text {
        digest(self.text().as_bytes())
    }

    /// Hash of the prompt's prefix, as cache events name it.
    pub fn prefix(&self) -> u64 {
        let text = self.text();
        let bytes = text.as_bytes();
        let hash = blake3::hash(&bytes[..bytes.len().min(PREFIX_BYTES)]);
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(head)
    }
}

/// Digest of a prompt or a body, as echoed in answers.
pub fn digest(bytes: &[u8]) -> Text {
    Text::from(&blake3::hash(bytes).to_hex().as_str()[..DIGEST_DIGITS])
}

/// One generated answer.
#[derive(Clone, Debug)]
pub struct Generated {
    /// The request.
    pub request: RequestId,
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: Completion,
    /// The engine.
    pub upstream: String,
}

impl Generated {
    fn echo(&self) -> Echo {
        Echo {
            request: self.request.clone(),
            model: Some(self.model.clone()),
            adapter: self.adapter.clone(),
            digest: self.prompt.digest(),
        }
    }

    fn token(&self, index: u64) -> String {
        format!("{}#{index} ", self.request)
    }

    fn usage(&self) -> Value {
        let total = self.prompt.tokens().0;
        let output = self.prompt.output();
        json!({
            "prompt_tokens": total - output,
            "completion_tokens": output,
            "total_tokens": total,
        })
    }

    /// The whole answer.
    pub fn whole(&self) -> Bytes {
        let content: String = (0..self.prompt.output()).map(|i| self.token(i)).collect();
        let body = json!({
            "id": self.request,
            "model": self.model,
            "upstream": self.upstream,
            "echo": self.echo(),
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "text": content,
                "finish_reason": "length",
            }],
            "usage": self.usage(),
        });
        body.to_string().into()
    }

    fn event(&self, index: u64) -> Bytes {
        let token = self.token(index);
        let body = json!({
            "id": self.request,
            "model": self.model,
            "choices": [{"index": 0, "delta": {"content": token}, "text": token}],
        });
        format!("data: {body}\n\n").into()
    }

    fn last(&self) -> Bytes {
        let body = json!({
            "id": self.request,
            "model": self.model,
            "upstream": self.upstream,
            "echo": self.echo(),
            "choices": [],
            "usage": self.usage(),
        });
        format!("data: {body}\n\ndata: [DONE]\n\n").into()
    }

    /// The answer token by token, one each `pace`; cut by an error before token `cut`.
    pub fn events(
        self,
        pace: Duration,
        cut: Option<u64>,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync + 'static {
        let output = self.prompt.output();
        stream::iter(0..=output).then(move |index| {
            let item = match cut {
                Some(cut) if index >= cut => Err(io::ErrorKind::ConnectionReset.into()),
                _ if index == output => Ok(self.last()),
                _ => Ok(self.event(index)),
            };
            let pause = if index == 0 { Duration::ZERO } else { pace };
            async move {
                tokio::time::sleep(pause).await;
                item
            }
        })
    }
}
