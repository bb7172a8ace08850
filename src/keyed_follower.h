/// @file
/// Follows the newest record of each key of a topic: loads all records, then reads the changes.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "store_calls.h"

namespace endivewood {

struct KeyedFollowerOptions {
  LogPartition partition;
  Milliseconds wait{0};          ///< How long one read waits for a change.
  Milliseconds min_interval{0};  ///< Minimum time between the starts of two reads.
  /// Time beyond `wait` without an answer after which a check is due as well; 0: never.
  Milliseconds max_delay{0};
};

/// Does no I/O: replies and the time are passed in, calls to make are returned.
class KeyedFollower {
 public:
  explicit KeyedFollower(KeyedFollowerOptions options) : m_options(std::move(options)) {}

  /// @returns the read that is due, or no value. At most one is in flight, beside one check.
  std::optional<StoreCall> TakeCall(Milliseconds now);
  /// @returns whether the records changed.
  bool OnReply(const StoreReply& reply, Milliseconds now);

  /// Requests a check: a read that doesn't wait for a change and shows whether the records are
  /// complete, also while the other read waits or has no answer.
  void RequestCheck() { m_check_requested = true; }
  /// @returns the check that is due, or no value. At most one is in flight.
  std::optional<StoreCall> TakeCheck(Milliseconds now);
  /// @returns whether the records changed.
  bool OnCheckReply(const StoreReply& reply, Milliseconds now);

  /// Starts a new full read; records() doesn't change until it is complete.
  void Reload();
  /// Starts a new full read without the present records, which may have been outdated for long.
  void Restart();

  /// @returns whether a full read has been completed.
  bool loaded() const { return m_loaded; }
  const std::map<std::string, std::string>& records() const { return m_records; }
  /// @returns a time at which records() was certainly complete, or no value: the start of the
  /// latest read that reached the log's end. A read that waited can have missed a change.
  std::optional<Milliseconds> current_at() const { return m_current_at; }
  /// @returns the offset that the next incremental read begins at.
  std::uint64_t offset() const { return m_offset; }
  /// @returns the end of the log in the latest answer.
  std::uint64_t log_end() const { return m_log_end; }
  Milliseconds NextDue() const;

 private:
  /// A read that has no answer yet.
  struct Flight {
    std::uint64_t from = 0;
    Milliseconds sent_at{0};
    bool obsolete = false;  ///< A new full read was started since.
  };

  /// @returns when a check is due because the read in flight has no answer.
  Milliseconds OverdueAt() const;
  bool OnAnswer(const Flight& read, const StoreReply& reply, Milliseconds now, Milliseconds* next);
  bool OnPage(const StoreReply& reply, Milliseconds now);
  bool OnChanges(const Flight& read, const StoreReply& reply);

  KeyedFollowerOptions m_options;
  std::map<std::string, std::string> m_records;
  std::map<std::string, std::string> m_loading_records;  ///< Records of a full read in progress.
  bool m_loaded = false;
  bool m_loading = true;
  std::optional<Flight> m_read;
  std::optional<Flight> m_check;
  bool m_check_requested = false;
  Milliseconds m_check_sent_at{0};
  std::string m_after_key;
  /// Log end when the first page was read; changes are read from there.
  std::optional<std::uint64_t> m_first_page_end;
  std::uint64_t m_offset = 0;
  std::uint64_t m_log_end = 0;
  Milliseconds m_next{0};
  Milliseconds m_next_check{0};
  Milliseconds m_first_page_sent_at{0};
  std::optional<Milliseconds> m_current_at;
};

}  // namespace endivewood
