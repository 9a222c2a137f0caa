use super::{ControlError, FleetMember, FleetSize};
use lycheeyard_protocol::{
    DataCentreId, Incarnation, Instance, InstanceRole, InstanceState, Revision,
};
use lycheeyard_standin::{Link, LinkState, ListStandin, StoreStandin};
use std::{collections::BTreeMap, time::Duration};

/// Entry instances of several data centres in one process, with network links that can be partitioned.
#[derive(Debug)]
pub struct ControlFleet {
    /// The store stand-in.
    pub store: StoreStandin,
    /// The entry instances, in the order in which they were started.
    pub members: Vec<FleetMember>,
    lists: BTreeMap<DataCentreId, ListStandin>,
    peer_links: Vec<PeerLink>,
}

/// The link from a data centre to an instance of another one.
#[derive(Debug)]
struct PeerLink {
    from: DataCentreId,
    to: DataCentreId,
    link: Link,
}

impl ControlFleet {
    /// Starts the store, one instance list per data centre, and all instances.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn start(size: FleetSize) -> Result<Self, ControlError> {
        let mut fleet = Self {
            store: StoreStandin::start().await?,
            members: Vec::new(),
            lists: BTreeMap::new(),
            peer_links: Vec::new(),
        };
        for id in size.data_centre_ids()? {
            let list = ListStandin::start(Duration::ZERO).await?;
            fleet.lists.insert(id, list);
        }
        for id in size.data_centre_ids()? {
            for number in 1..=size.instances {
                fleet.add_member(&id, &format!("{id}-e{number:02}")).await?;
            }
        }
        Ok(fleet)
    }

    /// Starts one more instance and adds it to the instance lists of all data centres.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened or the data centre is unknown.
    pub async fn add_member(
        &mut self,
        data_centre: &DataCentreId,
        name: &str,
    ) -> Result<(), ControlError> {
        let Some(list) = self.lists.get(data_centre) else {
            return Err(ControlError::TimedOut(
                "the instance list of the data centre",
            ));
        };
        let store = self.store.address();
        let member =
            FleetMember::start(name.parse()?, data_centre.clone(), store, list.address()).await?;
        for (from, list) in &self.lists {
            let mut instance = instance_of(&member);
            if from != data_centre {
                let link = Link::start(member.peer_address).await?;
                instance.peer_address = Some(link.address());
                self.peer_links.push(PeerLink {
                    from: from.clone(),
                    to: data_centre.clone(),
                    link,
                });
            }
            list.put(instance);
        }
        self.members.push(member);
        Ok(())
    }

    /// Partitions the instances of a data centre from the store, or heals the partition.
    pub fn set_store_partitioned(&self, data_centre: &DataCentreId, partitioned: bool) {
        for member in &self.members {
            if member.data_centre == *data_centre {
                member.set_store_partitioned(partitioned);
            }
        }
    }

    /// Partitions a data centre from the other data centres, or heals the partition.
    pub fn set_peers_partitioned(&self, data_centre: &DataCentreId, partitioned: bool) {
        for peer_link in &self.peer_links {
            if peer_link.from == *data_centre || peer_link.to == *data_centre {
                peer_link.link.set(LinkState::silent_if(partitioned));
            }
        }
    }

    /// Waits until a revision is in effect at all instances, except those of the data centre `except`.
    ///
    /// # Errors
    /// Fails when that takes longer than `limit`.
    pub async fn wait_for_revision(
        &self,
        revision: Revision,
        except: Option<&DataCentreId>,
        limit: Duration,
    ) -> Result<(), ControlError> {
        for member in &self.members {
            if Some(&member.data_centre) != except {
                member.wait_for_revision(revision, limit).await?;
            }
        }
        Ok(())
    }

    /// Stops all instances.
    pub async fn stop(self) {
        let mut stops = tokio::task::JoinSet::new();
        for member in self.members {
            stops.spawn(member.stop());
        }
        stops.join_all().await;
    }
}

fn instance_of(member: &FleetMember) -> Instance {
    Instance {
        name: member.instance.to_string(),
        role: InstanceRole::Entry,
        data_centre: member.data_centre.clone(),
        service: None,
        address: member.address,
        peer_address: Some(member.peer_address),
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    }
}
