/// @file
/// An in-memory log service that keeps keyed topics, for nodes on one event loop.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "store_calls.h"

namespace endivewood::testing {

class LogService {
 public:
  /// @param holder_of returns the member, by the names of all members, that holds a partition.
  LogService(EventLoop* loop,
             std::function<std::string(int, const std::vector<std::string>&)> holder_of)
      : m_loop(loop), m_holder_of(std::move(holder_of)) {}

  void Call(const StoreCall& call, Milliseconds timeout, const StoreCallback& callback) {
    if (!available) {
      m_loop->After(timeout, [callback] { callback({}); });
      return;
    }
    const auto* const read = std::get_if<ReadKeyed>(&call);
    const bool waits =
        read != nullptr && read->wait.count() > 0 && read->from >= m_logs[read->partition].size();
    const Milliseconds delay = waits ? Milliseconds(20) : Milliseconds(1);
    m_loop->After(delay, [this, call, callback] { callback(Answer(call)); });
  }

  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    Append({topic, 0}, {{.key = key, .value = value}});
  }

  /// @returns the newest records of a partition.
  const std::map<std::string, std::string>& Newest(const LogPartition& partition) {
    return m_newest[partition];
  }

  /// Takes over what another log service has stored; the members of its groups have expired.
  void CopyStored(const LogService& other) {
    m_logs = other.m_logs;
    m_newest = other.m_newest;
    m_epochs = other.m_epochs;
    m_generation = other.m_generation + 1;
  }
  /// Call when `holder_of` returns another member for a partition.
  void Reassign() { ++m_generation; }

  bool available = true;

 private:
  void Append(const LogPartition& partition, const std::vector<KeyedRecord>& records) {
    for (const KeyedRecord& record : records) {
      m_logs[partition].push_back(record);
      if (record.value.empty()) {
        m_newest[partition].erase(record.key);
      } else {
        m_newest[partition][record.key] = record.value;
      }
    }
  }

  StoreReply Answer(const StoreCall& call) {
    StoreReply reply{.status = StoreStatus::kOk};
    if (const auto* append = std::get_if<AppendKeyed>(&call)) {
      std::uint64_t& epoch = m_epochs[{append->partition, append->producer}];
      if (append->epoch < epoch) return {.status = StoreStatus::kFenced};
      epoch = append->epoch;
      Append(append->partition, append->records);
    } else if (const auto* claim = std::get_if<ClaimEpoch>(&call)) {
      std::uint64_t& epoch = m_epochs[{claim->partition, claim->producer}];
      if (claim->epoch < epoch) return {.status = StoreStatus::kFenced};
      epoch = claim->epoch;
    } else if (const auto* newest = std::get_if<ReadNewest>(&call)) {
      for (const auto& [key, value] : m_newest[newest->partition]) {
        if (key > newest->after_key) reply.records.push_back({.key = key, .value = value});
      }
      reply.end = m_logs[newest->partition].size();
    } else if (const auto* read = std::get_if<ReadKeyed>(&call)) {
      const std::vector<KeyedRecord>& log = m_logs[read->partition];
      const auto from = static_cast<std::ptrdiff_t>(std::min<std::size_t>(read->from, log.size()));
      reply.records.assign(log.begin() + from, log.end());
      reply.end = log.size();
    } else if (const auto* join = std::get_if<JoinGroup>(&call)) {
      AnswerJoin(*join, &reply);
    } else if (const auto* leave = std::get_if<LeaveGroup>(&call)) {
      std::erase(m_members, leave->member);
      ++m_generation;
    } else {
      for (int partition = 0; partition < kPartitions && !m_members.empty(); ++partition) {
        const std::string member = m_holder_of(partition, m_members);
        if (member.empty()) continue;
        reply.owners.push_back({.partition = {m_topic, partition}, .member = member});
      }
    }
    return reply;
  }

  void AnswerJoin(const JoinGroup& join, StoreReply* reply) {
    m_topic = join.topic;
    if (std::find(m_members.begin(), m_members.end(), join.member) == m_members.end()) {
      m_members.push_back(join.member);
      ++m_generation;
    }
    reply->generation = m_generation;
    for (int partition = 0; partition < kPartitions; ++partition) {
      if (m_holder_of(partition, m_members) == join.member) {
        reply->held.push_back({join.topic, partition});
      }
    }
  }

  static constexpr int kPartitions = 4;

  EventLoop* m_loop;
  std::function<std::string(int, const std::vector<std::string>&)> m_holder_of;
  std::map<LogPartition, std::vector<KeyedRecord>> m_logs;
  std::map<LogPartition, std::map<std::string, std::string>> m_newest;
  std::map<std::pair<LogPartition, std::string>, std::uint64_t> m_epochs;
  std::vector<std::string> m_members;
  std::string m_topic;
  std::uint64_t m_generation = 0;
};

}  // namespace endivewood::testing
