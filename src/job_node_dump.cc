/// @file
/// JSON dump of a node's state for operators.
#include <nlohmann/json.hpp>

#include "job_node.h"

namespace endivewood {
namespace {

nlohmann::json DumpTotal(const ResourceTotal& total) {
  return {{"millicores", total.cpu_millicores}, {"mb", total.memory_mb}, {"gpus", total.gpus}};
}

nlohmann::json DumpLedger(const AccountLedger& ledger) {
  nlohmann::json partitions = nlohmann::json::object();
  for (const int partition : ledger.partitions()) {
    nlohmann::json shares = nlohmann::json::object();
    for (const auto& [account, share] : ledger.SharesOf(partition)) {
      shares[account.str()] = DumpTotal(share);
    }
    partitions[std::to_string(partition)] = std::move(shares);
  }
  return partitions;
}

nlohmann::json DumpTerm(const PartitionTerm& term) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [id, session] : term.scheduler().sessions()) {
    upstreams.push_back({{"id", id.str()},
                         {"service", session.entry.service.str()},
                         {"listed", session.listed},
                         {"start_time", session.start_time},
                         {"follows_incarnation", session.follows_incarnation},
                         {"fencing_token", session.fencing_token},
                         {"fenced", session.fenced},
                         {"draining", session.entry.draining},
                         {"runs", session.hosted.size()},
                         {"free_millicores", session.Free().cpu_millicores},
                         {"held_for", session.held.size()},
                         {"unanswered", session.unanswered}});
  }
  nlohmann::json shares = nlohmann::json::array();
  for (const auto& [account, state] : term.scheduler().shares().accounts()) {
    if (state.share == ResourceTotal{} && state.load == AccountLoad{}) continue;
    shares.push_back({{"account", account.str()},
                      {"known", state.known},
                      {"frozen", state.frozen},
                      {"contended", state.contended},
                      {"share", DumpTotal(state.share)},
                      {"used", DumpTotal(state.load.used)},
                      {"waiting", DumpTotal(state.load.waiting)}});
  }
  nlohmann::json durations = nlohmann::json::object();
  for (const auto& [queue, summary] : term.scheduler().durations().Summaries()) {
    durations[queue.str()] = {{"factor", summary.factor},
                              {"slope", summary.slope},
                              {"spread", summary.spread},
                              {"runs", summary.runs}};
  }
  nlohmann::json queue_services = nlohmann::json::array();
  for (const QueueService& each : term.queue_services().known()) {
    queue_services.push_back({{"queue", each.queue.str()},
                              {"service", each.service.str()},
                              {"own", term.queue_services().registered().count(each) > 0}});
  }
  return {{"partition", term.options().partition.number},
          {"shares", std::move(shares)},
          {"epoch", term.options().epoch},
          {"active", term.active()},
          {"jobs", term.scheduler().jobs().size()},
          {"results", term.scheduler().results()},
          {"durations", std::move(durations)},
          {"queue_services", std::move(queue_services)},
          {"upstreams", std::move(upstreams)}};
}

nlohmann::json DumpAccounts(const FleetCatalog& catalog) {
  nlohmann::json accounts = nlohmann::json::array();
  if (!catalog.accounts) return accounts;
  for (const ClientAccount& account : *catalog.accounts) {
    accounts.push_back({{"name", account.name.str()},
                        {"keys", account.keys.size()},
                        {"weight", account.weight},
                        {"limit_millicores", account.limit.cpu_millicores},
                        {"limit_mb", account.limit.memory_mb},
                        {"limit_gpus", account.limit.gpus}});
  }
  return accounts;
}

}  // namespace

std::string JobNode::Dump() const {
  const Milliseconds now = m_clock->Now();
  nlohmann::json terms = nlohmann::json::array();
  for (const auto& [partition, term] : m_terms) terms.push_back(DumpTerm(*term));
  nlohmann::json owners = nlohmann::json::object();
  for (const auto& [partition, endpoint] : m_owners) {
    owners[std::to_string(partition)] = endpoint.str();
  }
  const nlohmann::json dump = {
      {"node", m_options.name},
      {"config_version", m_catalog ? m_catalog->version : 0},
      {"config_age_ms", catalog_read_state().age.count()},
      {"config_offset", catalog_read_state().offset},
      {"config_log_end", catalog_read_state().log_end},
      {"accounts", m_catalog ? DumpAccounts(*m_catalog) : nlohmann::json()},
      {"ready", IsReady()},
      {"generation", m_membership.generation()},
      {"confirmed", m_membership.IsConfirmed(now)},
      {"store_silent_ms", (now - m_last_store_answer).count()},
      {"registry_entries", m_registry_entries.size()},
      {"uses_carriers", m_uses_carriers},
      {"carriers", m_carriers.known()},
      {"usable_carriers", m_carriers.usable(now)},
      {"planner", m_planner != nullptr},
      {"ledger", m_ledger ? DumpLedger(*m_ledger) : nlohmann::json()},
      {"owners", std::move(owners)},
      {"terms", std::move(terms)}};
  return dump.dump(2);
}

}  // namespace endivewood
