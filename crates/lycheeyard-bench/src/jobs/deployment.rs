use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, DataCentreId, Guarantee, Organisation, OrganisationId, ParseError,
    Percent, PolicySettings, Rack, RequestsPerSecond, Shape, Slots, Weight, Worker,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt};

const DATA_CENTRE: &str = "dc1";

/// The deployment whose hardware and workload an experiment models.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Long grid builds and many small refreshes; completion time matters most.
    Cordillera,
    /// Large batches with agreed windows; low fragmentation matters most.
    Kapeng,
}

/// The size of a deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scale {
    /// 50 workers of 8 accelerators, 4 organisations.
    Today,
    /// 1,100 workers with 1,600 accelerators in total, 200 organisations.
    TwoYears,
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Cordillera => "cordillera",
            Self::Kapeng => "kapeng",
        })
    }
}

impl fmt::Display for Scale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Today => "today",
            Self::TwoYears => "two-years",
        })
    }
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Cordillera, Self::Kapeng];

    /// The policy settings that suit the goals of the deployment.
    #[must_use]
    pub fn policy(self) -> PolicySettings {
        let fragmentation_weight = match self {
            Self::Cordillera => Percent(20),
            Self::Kapeng => Percent(70),
        };
        PolicySettings {
            fragmentation_weight,
            ..PolicySettings::default()
        }
    }

    /// Generates the data centre with its racks and workers.
    ///
    /// # Errors
    /// Fails when a name is malformed.
    pub fn data_centre(self, scale: Scale) -> Result<DataCentre, ParseError> {
        let workers_per_rack = match self {
            Self::Cordillera => 6,
            Self::Kapeng => 8,
        };
        let workers = accelerators_per_worker(scale)
            .into_iter()
            .enumerate()
            .map(|(number, accelerators)| worker(number, accelerators))
            .collect::<Result<Vec<_>, _>>()?;
        let racks = workers
            .chunks(workers_per_rack)
            .enumerate()
            .map(|(number, chunk)| {
                Ok(Rack {
                    id: format!("rack-{number:03}").parse()?,
                    workers: chunk.to_vec(),
                })
            });
        Ok(DataCentre {
            id: data_centre_id()?,
            racks: racks.collect::<Result<_, ParseError>>()?,
            policy: self.policy(),
        })
    }

    /// Generates the organisations with their guarantees.
    ///
    /// # Errors
    /// Fails when a name is malformed.
    pub fn organisations(
        self,
        scale: Scale,
    ) -> Result<BTreeMap<OrganisationId, Organisation>, ParseError> {
        let shapes = self.guaranteed_shapes(scale);
        let organisations = shapes.into_iter().enumerate().map(|(number, shapes)| {
            let organisation = organisation(number, &shapes)?;
            Ok((organisation.id.clone(), organisation))
        });
        organisations.collect()
    }

    /// The guaranteed shapes of each organisation.
    fn guaranteed_shapes(self, scale: Scale) -> Vec<Vec<&'static str>> {
        match (scale, self) {
            (Scale::Today, Self::Cordillera) => {
                vec![
                    vec!["6x8"],
                    vec!["6x8"],
                    vec!["4x8", "1x8"],
                    vec!["4x8", "2x8"],
                ]
            }
            (Scale::Today, Self::Kapeng) => {
                vec![vec!["8x8"], vec!["8x8"], vec!["4x8"], vec!["2x8", "1x8"]]
            }
            (Scale::TwoYears, _) => (0..200).map(two_years_shapes).collect(),
        }
    }
}

fn two_years_shapes(number: usize) -> Vec<&'static str> {
    match number {
        0 => vec!["16x8"],
        1..=3 => vec!["4x8"],
        4..=11 => vec!["1x8"],
        12..=19 => vec!["16x1"],
        20..=59 => vec!["4x1"],
        _ => vec!["1x1"],
    }
}

fn accelerators_per_worker(scale: Scale) -> Vec<u16> {
    match scale {
        Scale::Today => vec![8; 50],
        Scale::TwoYears => {
            let mut accelerators = vec![8; 71];
            accelerators.extend([2; 3]);
            accelerators.extend([1; 1_026]);
            accelerators
        }
    }
}

fn worker(number: usize, accelerators: u16) -> Result<Worker, ParseError> {
    Ok(Worker {
        id: format!("worker-{number:04}").parse()?,
        accelerators,
        cores: Cores(32),
        memory: Bytes(128 << 30),
    })
}

fn organisation(number: usize, shapes: &[&str]) -> Result<Organisation, ParseError> {
    let guarantees = shapes.iter().map(|text| {
        Ok(Guarantee {
            data_centre: data_centre_id()?,
            shape: text.parse::<Shape>()?,
        })
    });
    Ok(Organisation {
        id: format!("organisation-{number:03}").parse()?,
        weight: Weight(1),
        concurrency: Slots(100),
        rate: RequestsPerSecond(1_000),
        guarantees: guarantees.collect::<Result<_, ParseError>>()?,
        key_digests: Vec::new(),
    })
}

fn data_centre_id() -> Result<DataCentreId, ParseError> {
    DATA_CENTRE.parse()
}
