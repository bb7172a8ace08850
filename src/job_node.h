/// @file
/// One instance of the system on the users' platform: answers callers, holds partitions of the job
/// store, and forwards calls to the instances that hold the other partitions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "account_ledger.h"
#include "event_loop.h"
#include "fleet_catalog.h"
#include "group_membership.h"
#include "holder_choice.h"
#include "instance_orders.h"
#include "keyed_follower.h"
#include "machine_calls.h"
#include "maintenance_planner.h"
#include "node_link.h"
#include "partition_term.h"
#include "work_times.h"

namespace endivewood {

/// The platform services that the node calls. Each completion callback runs exactly once, after the
/// call has returned.
struct PlatformCallbacks {
  std::function<void(const StoreCall&, Milliseconds timeout, StoreCallback)> call_store;
  std::function<void(const Endpoint&, std::uint64_t fencing_token, const UpstreamOrder&,
                     Milliseconds timeout, std::function<void(OrderReply)>)>
      send_order;
  std::function<void(const Endpoint&, std::uint64_t fencing_token, const RenewOrder&,
                     Milliseconds timeout, std::function<void(RenewReply)>)>
      send_renew;
  std::function<void(const MachineCall&, Milliseconds timeout, std::function<void(MachineReply)>)>
      call_machines;
  /// Decode a configuration or a maintenance wave from a record of the operators' topic.
  std::function<std::optional<FleetCatalog>(const std::string&)> decode_catalog;
  std::function<std::optional<MaintenanceWave>(const std::string&)> decode_wave;
  std::function<std::string(const WaveReport&)> encode_wave_report;
  /// Decodes a registry entry; no value when it doesn't describe a usable upstream.
  std::function<std::optional<UpstreamEntry>(const std::string& key, const std::string& value)>
      decode_upstream;
};

/// Names of the platform's topics, record keys and group that the node uses.
struct PlatformNames {
  LogPartition operators;
  std::string config_key;
  std::string wave_prefix;
  LogPartition registry;
  LogPartition status;
  LogPartition queue_services;  ///< See QueueServicesOptions.
  std::string job_topic;
  std::string group;
};

struct JobNodeOptions {
  std::string name;
  Endpoint peer_endpoint;  ///< Where other instances call this one.
  DataCentreName data_centre;
  InstanceCapacity capacity;
  int partitions = 16;
  Milliseconds lease{4000};
  Milliseconds max_lease{10000};
  Milliseconds drain_notice{2000};
  Milliseconds min_holder_gap{3000};  ///< Minimum time between two holders' orders to one instance.
  MaintenancePlannerOptions planner;
  PlatformNames names;
  OverloadChoice overload = OverloadChoice::kByConfiguration;  ///< See SchedulerOptions.
};

class JobNode {
 public:
  using Answer = std::function<void(NodeReply)>;

  JobNode(EventLoop* loop, const Clock* clock, JobNodeOptions options, PlatformCallbacks callbacks);

  /// Starts following the store's topics and joining the group.
  void Start();

  /// Answers a call within `timeout`, forwarding it when another instance holds the partition.
  /// `answer` is called exactly once.
  void Handle(const NodeCall& call, Milliseconds timeout, Answer answer);

  /// @returns the active configuration, or nullptr before the first has been read.
  std::shared_ptr<const FleetCatalog> catalog() const { return m_catalog; }

  /// Calls `done` once with whether the catalog was the newest at the time of this call, as shown
  /// by a read of the store that began later; with false when that isn't known after `timeout`, or
  /// at once when the store is known to be unreachable.
  void ConfirmCatalog(Milliseconds timeout, std::function<void(bool)> done);

  /// Where the view of the operators' topic stands, for logs.
  struct CatalogReadState {
    Milliseconds age{-1};  ///< Time since the catalog was certainly current; -1: never.
    std::uint64_t offset = 0;
    std::uint64_t log_end = 0;
  };
  CatalogReadState catalog_read_state() const;
  /// @returns whether the catalog was certainly the newest at most `age` ago.
  bool IsCatalogRecent(Milliseconds age) const;

  /// Called with each new configuration.
  void OnCatalog(std::function<void(const FleetCatalog&)> callback);

  /// @returns whether this instance should receive new connections from callers.
  bool IsReady() const;

  /// Ends all terms and leaves the group. Calls that still arrive are forwarded to the new holders.
  void BeginStop();

  /// @returns the bytes exchanged with other instances.
  Traffic peer_traffic() const { return m_link ? m_link->traffic() : Traffic{}; }

  /// @returns the node's state as a JSON document.
  std::string Dump() const;

 private:
  struct Confirmation;
  struct Forwarding;
  struct Lookup;
  using Term = std::shared_ptr<PartitionTerm>;

  void Tick();
  void ReportDelay(const char* delay, Milliseconds time);
  void OnOperatorRecords(const StoreReply& reply, Milliseconds sent_at, bool changed);
  void FinishConfirmations();
  void ScheduleTick(Milliseconds delay);
  void PollFollowers(Milliseconds now);
  GroupMembershipOptions NewMembershipOptions() const;
  void UpdateMembership(Milliseconds now);
  void JoinGroupIfDue(Milliseconds now);
  void LeaveMembership();
  void EndLostTerms();
  void BeginNewTerms(Milliseconds now);
  std::vector<int> OtherHolders() const;
  void RunTerms(Milliseconds now);
  void RunTerm(PartitionTerm* term, Milliseconds now);
  void RunHandover(const std::shared_ptr<PartitionTerm>& term, Milliseconds now);
  void AnswerHandover(const HandoverCall& call, const Answer& answer);
  // job_node_owners.cc
  void RefreshOwners(Milliseconds now);
  void AskPeersForOwners(Milliseconds now);
  void OnOwners(const StoreReply& reply);
  void SetOwners(std::map<int, Endpoint> owners, std::uint64_t generation);
  // job_node_accounts.cc
  /// Keeps the ledger of the accounts' limits while this instance holds partition 0.
  void UpdateLedger();
  void AnswerShare(const ShareCall& call, const Answer& answer);
  void SendShareCall(const Term& term, Milliseconds now);
  void OnShareReply(const Term& term, std::uint64_t sequence, const std::optional<NodeReply>& reply,
                    const char* cause);

  void RunPlanner(Milliseconds now);
  void SendPlannerCalls();
  void SendMachineCall(const MachineCall& call);
  // job_node_orders.cc
  void SendOrders(const Term& term);
  void SendOrder(const Term& term, const UpstreamEntry& upstream, const UpstreamOrder& order);
  bool MaySend(const UpstreamOrder& order) const;
  void OnOrderReply(const Term& term, const UpstreamOrder& order, const CarryReply& reply);
  void AddToBatch(const Term& term, const Endpoint& carrier, const UpstreamEntry& upstream,
                  const UpstreamOrder& order);
  void SendBatches();
  void UpdateCarriers(Milliseconds now);
  void SetCarriers(const std::vector<PartitionOwner>& owners);
  void CarryOrders(const CarryBatch& batch, const NodeLink::CarryResponder& respond);
  void CarryOrder(const CarriedOrder& order, const NodeLink::CarryResponder& respond);
  void CallStore(const StoreCall& call, Milliseconds timeout, StoreCallback callback);
  void ApplyOperatorRecords();
  void ApplyRegistry();
  void UpdateUpstreams(PartitionTerm* term, Milliseconds now);
  std::set<ServiceName> ServicesOf(int partition) const;
  Milliseconds UnixOffset() const;
  HolderRights RightsAt(Milliseconds now) const;

  // job_node_calls.cc
  /// @returns why a call isn't answered for its caller, or kOk.
  NodeReply CheckCaller(const NodeCall& call, const JobScheduler& scheduler) const;
  void AnswerLocally(const NodeCall& call, Answer answer);
  void AnswerFromScheduler(const Term& term, const NodeCall& call, Answer answer);
  std::optional<NodeReply> RefusalOfNewJob(const Term& term, Milliseconds now) const;
  void AnswerSubmit(const std::shared_ptr<PartitionTerm>& term, const SubmitCall& call,
                    Answer answer);
  void AnswerCancel(const std::shared_ptr<PartitionTerm>& term, const CancelCall& call,
                    Answer answer);
  void Attempt(const std::shared_ptr<Forwarding>& forwarding);
  void RetryOrFail(const std::shared_ptr<Forwarding>& forwarding, const char* cause);
  void Finish(const std::shared_ptr<Forwarding>& forwarding, NodeReply reply);
  // job_node_queues.cc
  void RunQueueServices(const Term& term, Milliseconds now);
  /// @returns whether a call is answered only once the other services of its queue were asked.
  static bool NeedsLookup(const NodeCall& call, const JobScheduler& scheduler);
  void BeginLookup(const Term& term, const NodeCall& call, Answer answer);
  bool ForwardSubmit(const Lookup& lookup);
  void AskOtherServices(const std::shared_ptr<Lookup>& lookup);
  void OnFindReply(const std::shared_ptr<Lookup>& lookup, const ServiceName& other,
                   const NodeReply& reply);
  void EndLookup(const std::shared_ptr<Lookup>& lookup);
  void FinishLookup(const std::shared_ptr<Lookup>& lookup);
  void FailLookup(const std::shared_ptr<Lookup>& lookup, const char* cause);
  NodeReply AnswerFindJob(const Term& term, const FindJobCall& call);

  EventLoop* m_loop;
  const Clock* m_clock;
  JobNodeOptions m_options;
  PlatformCallbacks m_callbacks;
  std::unique_ptr<NodeLink> m_link;
  GroupMembership m_membership;
  bool m_member = false;  ///< Whether this instance takes part in the group.
  Milliseconds m_started{0};
  /// Holding capacities of the members that hold partitions, by their names; no value until the
  /// list of holders has been read.
  std::optional<std::map<std::string, int>> m_holder_capacities;
  KeyedFollower m_operators;
  KeyedFollower m_registry;
  std::shared_ptr<const FleetCatalog> m_catalog;
  bool m_newest_config_applied = false;  ///< Whether m_catalog is the newest record that was read.
  std::vector<std::shared_ptr<Confirmation>> m_confirmations;
  std::vector<std::function<void(const FleetCatalog&)>> m_catalog_callbacks;
  /// A record of the registry; no entry when it names no upstream.
  struct RegistryEntry {
    std::string record;
    std::optional<UpstreamEntry> upstream;
  };
  std::map<std::string, RegistryEntry> m_registry_entries;
  std::map<int, std::shared_ptr<PartitionTerm>> m_terms;
  std::unique_ptr<MaintenancePlanner> m_planner;
  /// Ledger of the accounts' limits, and the term of partition 0 that it belongs to.
  std::unique_ptr<AccountLedger> m_ledger;
  Term m_ledger_term;
  Milliseconds m_share_failure_reported{-1000};
  /// Calls that wait for the holders of their queues' other services, by job.
  std::multimap<JobId, std::shared_ptr<Lookup>> m_lookups;
  InstanceOrders m_instance_orders;
  std::map<int, Endpoint> m_owners;
  std::uint64_t m_owners_generation = 0;  ///< The group's generation when m_owners was read.
  Milliseconds m_peers_asked_at{0};
  std::size_t m_next_peer = 0;
  bool m_owners_in_flight = false;
  bool m_owners_refresh_requested = true;
  Milliseconds m_owners_requested_at{0};
  CarrierChoice m_carriers;
  bool m_uses_carriers = false;
  std::map<Endpoint, std::vector<NodeLink::CarryItem>> m_batches;  ///< Orders not sent yet.
  Milliseconds m_last_store_answer{0};
  bool m_store_unreachable = false;
  bool m_stopping = false;
  EventLoop::TimerId m_tick_timer = 0;
  Milliseconds m_tick_at{0};
  WorkTimes m_work;
};

}  // namespace endivewood
