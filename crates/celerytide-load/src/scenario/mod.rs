//! Scenarios: a deployment, its traffic, and phases with request rates and faults.

mod traffic;

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use celerytide_types::{ClassName, Millis, ZoneId};
use snafu::{ResultExt, Snafu};

use crate::fleet::Deployment;

pub use traffic::{Arrival, arrivals};

/// Reason why a scenario can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Underlying error.
        source: io::Error,
    },
    /// The file isn't a valid scenario.
    #[snafu(display("{path}: {source}"))]
    Parse {
        /// Path of the file.
        path: String,
        /// Underlying error.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    /// A name isn't defined in the deployment.
    #[snafu(display("{place}: {what} {name:?} is unknown"))]
    Unknown {
        /// Phase or section of the scenario that uses the name.
        place: String,
        /// Kind of the name, for example `class`.
        what: &'static str,
        /// Undefined name.
        name: String,
    },
}

celerytide_types::data! {
    /// Deployment with traffic and a sequence of phases.
    #[serde(deny_unknown_fields)]
    pub struct Scenario {
        /// Display name; also the name of the results' directory.
        pub name: String,
        /// Purpose of the scenario, for reports.
        #[serde(default)]
        pub about: String,
        /// Seed of arrivals, customers and prompts.
        pub seed: u64,
        /// Deployment to start.
        pub deployment: Deployment,
        /// Reaction of callers to a refusal.
        #[serde(default)]
        pub retry: Retry,
        /// Requests of each class.
        pub traffic: Vec<Traffic>,
        /// Consecutive phases.
        pub phases: Vec<Phase>,
    }

    /// Reaction of callers to a refusal.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Retry {
        /// Callers don't retry.
        #[default]
        Never,
        /// Callers retry after the time named in the refusal, up to a limit.
        Obey,
    }

    /// Requests of one class.
    #[serde(deny_unknown_fields)]
    pub struct Traffic {
        /// Name of the class.
        pub class: ClassName,
        /// Median length of the part of a prompt that isn't shared, in tokens.
        #[serde(default = "default_prompt_tokens")]
        pub prompt_tokens: usize,
        /// Length of the prefix that the prompts of one group share, in tokens.
        #[serde(default)]
        pub shared_tokens: usize,
        /// Number of groups with a shared prefix.
        #[serde(default = "default_groups")]
        pub groups: usize,
        /// Maximum length of a response, in tokens.
        #[serde(default)]
        pub max_tokens: Option<usize>,
        /// Path below the prefix of a plain service.
        #[serde(default = "default_path")]
        pub path: String,
    }

    /// Part of the run with constant request rates.
    #[serde(deny_unknown_fields)]
    pub struct Phase {
        /// Display name.
        pub name: String,
        /// Length, in seconds.
        pub seconds: f64,
        /// Requests per second by class.
        pub rates: BTreeMap<ClassName, f64>,
        /// Events during the phase.
        #[serde(default)]
        pub events: Vec<Event>,
    }

    /// Action at a time within a phase.
    #[serde(deny_unknown_fields)]
    pub struct Event {
        /// Time since the start of the phase, in seconds.
        #[serde(default)]
        pub at: f64,
        /// Action to apply.
        #[serde(rename = "do")]
        pub action: Action,
    }

    /// Change to the stand-ins or the published configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum Action {
        /// Slows down the first `count` engines.
        EnginesSlow {
            /// Number of engines.
            count: usize,
            /// Time added to each decode step, in milliseconds.
            ms: Millis,
        },
        /// Makes the first `count` engines cold.
        EnginesCold {
            /// Number of engines.
            count: usize,
            /// Whether their load reports show it.
            #[serde(default)]
            signal: bool,
        },
        /// Ends the faults of all engines.
        EnginesClear,
        /// Takes a zone out of service.
        ZoneOut {
            /// Zone id.
            zone: ZoneId,
        },
        /// Returns a zone to service.
        ZoneIn {
            /// Zone id.
            zone: ZoneId,
        },
        /// Makes the configuration service stop responding.
        ConfigDown,
        /// Makes the configuration service return its current state, regardless of what is published later.
        ConfigStale,
        /// Makes the configuration service work again.
        ConfigUp,
    }
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
        let scenario: Self = serde_saphyr::from_str(&text).context(ParseSnafu { path: name })?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Multiplies the length of every phase and the times of its events by `factor`.
    pub fn scaled(mut self, factor: f64) -> Self {
        for phase in &mut self.phases {
            phase.seconds *= factor;
            for event in &mut phase.events {
                event.at *= factor;
            }
        }
        self
    }

    /// All events in order, with their times from the start of the run.
    pub fn events(&self) -> Vec<(Duration, &Action)> {
        let mut all = Vec::new();
        let mut start = Duration::ZERO;
        for phase in &self.phases {
            all.extend(
                phase
                    .events
                    .iter()
                    .map(|event| (start + phase.offset(event), &event.action)),
            );
            start += phase.duration();
        }
        all.sort_by_key(|(at, _)| *at);
        all
    }

    /// Total length of all phases.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(Phase::duration).sum()
    }

    /// Checks that all names used are defined.
    pub fn validate(&self) -> Result<(), Error> {
        for traffic in &self.traffic {
            self.validate_class("traffic", &traffic.class)?;
        }
        for phase in &self.phases {
            for class in phase.rates.keys() {
                self.validate_class(&phase.name, class)?;
                if !self.traffic.iter().any(|traffic| traffic.class == *class) {
                    return UnknownSnafu {
                        place: &phase.name,
                        what: "traffic of class",
                        name: class,
                    }
                    .fail();
                }
            }
            for event in &phase.events {
                self.validate_event(&phase.name, event)?;
            }
        }
        Ok(())
    }

    fn validate_class(&self, place: &str, class: &str) -> Result<(), Error> {
        let is_known = self.deployment.classes.iter().any(|known| known.name == class);
        if is_known {
            Ok(())
        } else {
            UnknownSnafu {
                place,
                what: "class",
                name: class,
            }
            .fail()
        }
    }

    fn validate_event(&self, place: &str, event: &Event) -> Result<(), Error> {
        let (Action::ZoneOut { zone } | Action::ZoneIn { zone }) = &event.action else {
            return Ok(());
        };
        let is_known = self.deployment.zones.contains(zone);
        if is_known {
            Ok(())
        } else {
            UnknownSnafu {
                place,
                what: "zone",
                name: zone,
            }
            .fail()
        }
    }
}

impl Phase {
    /// Time of an event from the start of the phase, at most the length of the phase.
    pub fn offset(&self, event: &Event) -> Duration {
        Duration::try_from_secs_f64(event.at)
            .unwrap_or_default()
            .min(self.duration())
    }

    /// Length of the phase; zero if `seconds` isn't a valid duration.
    pub fn duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.seconds).unwrap_or_default()
    }
}

fn default_prompt_tokens() -> usize {
    100
}

fn default_groups() -> usize {
    1
}

fn default_path() -> String {
    "/ping".to_owned()
}
