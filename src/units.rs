//! Sizes and rates.
//!
//! Newtypes over plain numbers, each with one unit, so that bytes, tokens and rates cannot be mixed.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a text is not a size or a rate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnitError {
    /// The text is not a number.
    #[error("expected a number with an optional unit")]
    Number,
    /// The unit is not known.
    #[error("unit {0:?} is not known")]
    Unit(String),
    /// The value is negative, not finite or too large.
    #[error("the value is out of range")]
    Range,
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Nothing.
            pub const ZERO: Self = Self(0);

            /// The difference, or zero where `other` is larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl Sum for $name {
            fn sum<I>(items: I) -> Self
            where
                I: Iterator<Item = Self>,
            {
                items.fold(Self::ZERO, Add::add)
            }
        }
    };
}

quantity!(
    /// A count of tokens, prompt and generated alike.
    Tokens
);
quantity!(
    /// A size in bytes.
    Bytes
);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tokens {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.trim().parse().map(Self).or(Err(UnitError::Number))
    }
}

const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact = |&&(_, size): &&(&str, u64)| self.0 != 0 && self.0.is_multiple_of(size);
        let (unit, size) = BYTE_UNITS.iter().find(exact).unwrap_or(&("B", 1));
        write!(f, "{}{unit}", self.0 / size)
    }
}

impl FromStr for Bytes {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let text = text.trim();
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(split);
        let number: u64 = digits.parse().or(Err(UnitError::Number))?;
        let unit = unit.trim();
        if unit.is_empty() {
            return Ok(Self(number));
        }
        let found = BYTE_UNITS.iter().find(|(name, _)| *name == unit);
        let (_, size) = found.ok_or_else(|| UnitError::Unit(unit.to_owned()))?;
        number.checked_mul(*size).map(Self).ok_or(UnitError::Range)
    }
}

macro_rules! rate {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// A rate of `per_second`.
            ///
            /// # Errors
            ///
            /// [`UnitError::Range`] where the value is negative or not finite.
            pub fn new(per_second: f64) -> Result<Self, UnitError> {
                if per_second.is_finite() && per_second >= 0.0 {
                    Ok(Self(per_second))
                } else {
                    Err(UnitError::Range)
                }
            }

            /// The number a second.
            pub fn per_second(self) -> f64 {
                self.0
            }

            /// The number that gathers within `span`.
            pub fn over(self, span: Duration) -> f64 {
                self.0 * span.as_secs_f64()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}/s", self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number = text.trim().trim_end_matches("/s");
                Self::new(number.parse().or(Err(UnitError::Number))?)
            }
        }

        impl TryFrom<f64> for $name {
            type Error = UnitError;

            fn try_from(per_second: f64) -> Result<Self, UnitError> {
                Self::new(per_second)
            }
        }

        impl From<$name> for f64 {
            fn from(rate: $name) -> Self {
                rate.0
            }
        }
    };
}

rate!(
    /// Tokens a second.
    TokenRate
);
rate!(
    /// Requests a second.
    RequestRate
);
