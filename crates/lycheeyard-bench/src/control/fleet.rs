use super::{ControlError, FleetMember, FleetSize};
use lycheeyard_protocol::{
    DataCentreId, Incarnation, Instance, InstanceRole, InstanceState, Revision,
};
use lycheeyard_standin::{Link, LinkState, ListStandin, StoreStandin};
use std::{collections::BTreeMap, time::Duration};

/// Entry instances of several data centres in one process, with paths between them that can be cut.
#[derive(Debug)]
pub struct ControlFleet {
    /// The store.
    pub store: StoreStandin,
    /// The instances.
    pub members: Vec<FleetMember>,
    lists: BTreeMap<DataCentreId, ListStandin>,
    peer_links: Vec<PeerLink>,
}

/// The path from a data centre to an instance of another one.
#[derive(Debug)]
struct PeerLink {
    from: DataCentreId,
    to: DataCentreId,
    link: Link,
}

impl ControlFleet {
    /// Starts the store, a list a data centre, and all instances.
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

    /// Starts one more instance and lists it in every data centre.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn add_member(
        &mut self,
        data_centre: &DataCentreId,
        name: &str,
    ) -> Result<(), ControlError> {
        let Some(list) = self.lists.get(data_centre) else {
            return Err(ControlError::Late("the list of the data centre"));
        };
        let store = self.store.address();
        let member =
            FleetMember::start(name.parse()?, data_centre.clone(), store, list.address()).await?;
        for (from, list) in &self.lists {
            let mut instance = listed(&member);
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

    /// Cuts a data centre off from the store, or heals the path.
    pub fn cut_store(&self, data_centre: &DataCentreId, cut: bool) {
        for member in &self.members {
            if member.data_centre == *data_centre {
                member.cut_store(cut);
            }
        }
    }

    /// Cuts a data centre off from the other data centres, or heals the paths.
    pub fn cut_peers(&self, data_centre: &DataCentreId, cut: bool) {
        for path in &self.peer_links {
            if path.from == *data_centre || path.to == *data_centre {
                path.link.set(LinkState::silent_if(cut));
            }
        }
    }

    /// Waits until a revision is in force at the instances of all data centres but one.
    ///
    /// # Errors
    /// Fails when that takes longer than `limit`.
    pub async fn wait_for(
        &self,
        revision: Revision,
        except: Option<&DataCentreId>,
        limit: Duration,
    ) -> Result<(), ControlError> {
        for member in &self.members {
            if Some(&member.data_centre) != except {
                member.wait_for(revision, limit).await?;
            }
        }
        Ok(())
    }

    /// Stops all instances.
    pub async fn stop(self) {
        let mut ends = tokio::task::JoinSet::new();
        for member in self.members {
            ends.spawn(member.stop());
        }
        ends.join_all().await;
    }
}

fn listed(member: &FleetMember) -> Instance {
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
