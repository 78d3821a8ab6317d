//! Scenarios: a deployment, its traffic, and phases with rates and faults.

mod traffic;

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use celerytide_types::{ClassName, Millis, ZoneId};
use snafu::{ResultExt, Snafu};

use crate::fleet::Deployment;

pub use traffic::{Arrival, arrivals};

/// Why a scenario could not be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The text is no scenario.
    #[snafu(display("{path}: {source}"))]
    Parse {
        /// The file.
        path: String,
        /// What the decoder said.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    /// A name is used that the deployment does not have.
    #[snafu(display("{place}: {what} {name:?} is unknown"))]
    Unknown {
        /// Phase or part.
        place: String,
        /// Class, zone or the like.
        what: &'static str,
        /// The name.
        name: String,
    },
}

celerytide_types::data! {
    /// A scenario.
    #[serde(deny_unknown_fields)]
    pub struct Scenario {
        /// Name for people; also the name of the results' folder.
        pub name: String,
        /// What it is to show.
        #[serde(default)]
        pub about: String,
        /// Seed of arrivals, customers and prompts.
        pub seed: u64,
        /// The deployment.
        pub deployment: Deployment,
        /// What callers do after a refusal.
        #[serde(default)]
        pub retry: Retry,
        /// What requests of each class look like.
        pub traffic: Vec<Traffic>,
        /// Phases, one after the other.
        pub phases: Vec<Phase>,
    }

    /// What callers do after a refusal.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Retry {
        /// They do not come back.
        #[default]
        Never,
        /// They come back when they were told to, a few times at most.
        Obey,
    }

    /// What requests of one class look like.
    #[serde(deny_unknown_fields)]
    pub struct Traffic {
        /// The class.
        pub class: ClassName,
        /// Median length of a prompt's own part, in tokens.
        #[serde(default = "default_prompt")]
        pub prompt_tokens: usize,
        /// Length of the start that prompts of one group share, in tokens.
        #[serde(default)]
        pub shared_tokens: usize,
        /// Number of groups with a shared start.
        #[serde(default = "default_groups")]
        pub groups: usize,
        /// Bound on the answer, in tokens.
        #[serde(default)]
        pub max_tokens: Option<usize>,
        /// Path below a plain service's prefix.
        #[serde(default = "default_path")]
        pub path: String,
    }

    /// A part of the run.
    #[serde(deny_unknown_fields)]
    pub struct Phase {
        /// Name for people.
        pub name: String,
        /// Length.
        pub seconds: f64,
        /// Requests a second by class.
        pub rates: BTreeMap<ClassName, f64>,
        /// What happens in it.
        #[serde(default)]
        pub events: Vec<Event>,
    }

    /// Something that happens at a time of a phase.
    #[serde(deny_unknown_fields)]
    pub struct Event {
        /// Time since the phase began, in seconds.
        #[serde(default)]
        pub at: f64,
        /// What happens.
        #[serde(rename = "do")]
        pub action: Action,
    }

    /// What can happen.
    #[serde(rename_all = "kebab-case")]
    pub enum Action {
        /// The first engines decode more slowly.
        EnginesSlow {
            /// How many.
            count: usize,
            /// Added to each decode step.
            ms: Millis,
        },
        /// The first engines turn cold.
        EnginesCold {
            /// How many.
            count: usize,
            /// Whether their reports tell of it.
            #[serde(default)]
            signal: bool,
        },
        /// Engines are as they were.
        EnginesClear,
        /// A zone is taken out of service.
        ZoneOut {
            /// The zone.
            zone: ZoneId,
        },
        /// A zone is brought back.
        ZoneIn {
            /// The zone.
            zone: ZoneId,
        },
        /// The configuration service does not answer.
        ConfigDown,
        /// The configuration service answers what it knows now, whatever is published.
        ConfigStale,
        /// The configuration service works again.
        ConfigUp,
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
        let scenario: Self = serde_saphyr::from_str(&text).context(ParseSnafu { path: name })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The same with every phase and the times of its events `factor` times as long.
    pub fn scaled(mut self, factor: f64) -> Self {
        for phase in &mut self.phases {
            phase.seconds *= factor;
            for event in &mut phase.events {
                event.at *= factor;
            }
        }
        self
    }

    /// All events with their times from the start, in order.
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

    /// Length of all phases.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(Phase::duration).sum()
    }

    /// Whether all names that are used exist.
    pub fn check(&self) -> Result<(), Error> {
        for traffic in &self.traffic {
            self.check_class("traffic", &traffic.class)?;
        }
        for phase in &self.phases {
            for class in phase.rates.keys() {
                self.check_class(&phase.name, class)?;
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
                self.check_event(&phase.name, event)?;
            }
        }
        Ok(())
    }

    fn check_class(&self, place: &str, class: &str) -> Result<(), Error> {
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

    fn check_event(&self, place: &str, event: &Event) -> Result<(), Error> {
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
    /// Time of an event since the phase began.
    pub fn offset(&self, event: &Event) -> Duration {
        Duration::try_from_secs_f64(event.at)
            .unwrap_or_default()
            .min(self.duration())
    }

    /// Its length.
    pub fn duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.seconds).unwrap_or_default()
    }
}

fn default_prompt() -> usize {
    100
}

fn default_groups() -> usize {
    1
}

fn default_path() -> String {
    "/ping".to_owned()
}
