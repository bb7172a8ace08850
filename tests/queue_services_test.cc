/// @file
/// Registration of services for queues, with a store whose calls and answers are delayed or lost.
#include "queue_services.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

const QueueName queue("q");

QueueService OfHolder(int number) {
  return {.queue = queue, .service = ServiceName("s" + std::to_string(number))};
}

QueueServices NewHolder(int number, std::uint64_t epoch) {
  return QueueServices(
      {.partition = {"queues", 0}, .producer = "p" + std::to_string(number), .epoch = epoch});
}

/// The topic of the registrations. Reads have pages of `page_size` records.
class Topic {
 public:
  StoreReply Execute(const StoreCall& call) {
    StoreReply reply{.status = StoreStatus::kOk};
    if (const auto* append = std::get_if<AppendKeyed>(&call)) {
      std::uint64_t& epoch = m_epochs[append->producer];
      if (append->epoch < epoch) return {.status = StoreStatus::kFenced};
      epoch = append->epoch;
      exists = true;
      for (const KeyedRecord& record : append->records) m_records[record.key] = record.value;
      ++appends;
      return reply;
    }
    if (!exists) return {.status = StoreStatus::kInvalid};
    const auto& read = std::get<ReadNewest>(call);
    for (const auto& [key, value] : m_records) {
      if (key <= read.after_key) continue;
      reply.more = reply.records.size() == page_size;
      if (reply.more) break;
      reply.records.push_back({.key = key, .value = value});
    }
    return reply;
  }

  void Put(const std::string& key, const std::string& value) {
    exists = true;
    m_records[key] = value;
  }

  std::size_t page_size = 500;
  bool exists = true;
  int appends = 0;

 private:
  std::map<std::string, std::string> m_records;
  std::map<std::string, std::uint64_t> m_epochs;  ///< By producer.
};

/// Makes and answers calls until the holder is registered, at most `limit` calls.
/// @returns the number of calls.
int Register(QueueServices* holder, int number, Topic* topic, int limit = 20) {
  bool registered = false;
  holder->WhenRegistered(OfHolder(number), [&](bool done) { registered = done; });
  int calls = 0;
  Milliseconds now{0};
  for (; !registered && calls < limit; ++calls) {
    now += Milliseconds(config::kStoreRetryMs);
    const auto call = holder->TakeCall(now);
    REQUIRE(call);
    holder->OnReply(topic->Execute(*call), now);
  }
  REQUIRE(registered);
  return calls;
}

// Guards against a holder that doesn't learn of services that took jobs before it.
TEST_CASE("a holder knows the services that registered before it") {
  SilenceEvents();
  Topic topic;
  topic.exists = false;
  QueueServices first = NewHolder(1, 1);
  CHECK(Register(&first, 1, &topic) == 3);
  QueueServices second = NewHolder(2, 1);
  CHECK(Register(&second, 2, &topic) == 3);
  CHECK(second.OthersOf(OfHolder(2), false) == std::set<ServiceName>{ServiceName("s1")});
  CHECK(first.OthersOf(OfHolder(1), false).empty());
}

// Guards against a write for each queue whenever a partition changes its holder.
TEST_CASE("the next holder of a partition registers with one read") {
  SilenceEvents();
  Topic topic;
  QueueServices former = NewHolder(1, 1);
  Register(&former, 1, &topic);
  QueueServices next = NewHolder(1, 2);
  CHECK(Register(&next, 1, &topic) == 1);
  CHECK(topic.appends == 1);
}

// Guards against a caller whose call gets no answer when a term ends.
TEST_CASE("a registration that a term's end interrupts is reported") {
  QueueServices holder = NewHolder(1, 1);
  std::optional<bool> registered;
  holder.WhenRegistered(OfHolder(1), [&](bool done) { registered = done; });
  holder.End();
  CHECK(registered == false);
  CHECK_FALSE(holder.TakeCall(Milliseconds(0)));
}

// Guards against one odd record that keeps all holders from registering.
TEST_CASE("an odd record of the topic is left out") {
  SilenceEvents();
  Topic topic;
  topic.Put("odd", "odd");
  QueueServices holder = NewHolder(1, 1);
  Register(&holder, 1, &topic);
  CHECK(holder.OthersOf(OfHolder(1), false).empty());
}

// Guards against asking services that have no jobs left, and against not asking them once they may
// have some again.
TEST_CASE("a retired service counts again once it asks, or with a new configuration") {
  QueueServices holder = NewHolder(1, 1);
  const std::set<ServiceName> other{ServiceName("s2")};
  holder.Add(OfHolder(2));
  CHECK(holder.OthersOf(OfHolder(1), false) == other);
  holder.Retire(OfHolder(2));
  CHECK(holder.OthersOf(OfHolder(1), false).empty());
  CHECK(holder.OthersOf(OfHolder(1), true) == other);
  holder.Add(OfHolder(2));
  CHECK(holder.OthersOf(OfHolder(1), false) == other);
  holder.Retire(OfHolder(2));
  holder.ForgetRetired();
  CHECK(holder.OthersOf(OfHolder(1), false) == other);
}

/// Two holders that register at the same time; calls are executed and answered at random times, or
/// get no answer and are executed later or never.
class RandomPlay {
 public:
  explicit RandomPlay(unsigned seed) : m_random(seed) {
    SilenceEvents();
    m_topic.page_size = 1 + m_random() % 3;
    m_topic.exists = m_random() % 2 == 0;
    for (unsigned other = 0; other < m_random() % 4; ++other) {
      m_topic.Put("q\nr" + std::to_string(other), "odd");
    }
    for (int number = 0; number < 2; ++number) {
      m_holders.push_back(std::make_unique<QueueServices>(NewHolder(number, 1)));
      m_begin.emplace_back(m_random() % 40);
    }
  }

  /// @returns whether both have registered and neither knows of the other.
  bool Violates() {
    for (Milliseconds now{0}; now < Milliseconds(20000); now += Milliseconds(1)) {
      for (std::size_t number = 0; number < m_holders.size(); ++number) Step(number, now);
      std::vector<Event> due;
      std::erase_if(m_events, [&](Event& event) {
        const bool is_due = event.at <= now;
        if (is_due) due.push_back(std::move(event));
        return is_due;
      });
      for (const Event& event : due) event.run(now);
      if (m_registered == 2) break;
    }
    REQUIRE(m_registered == 2);
    return m_holders[0]->OthersOf(OfHolder(0), false).empty() &&
           m_holders[1]->OthersOf(OfHolder(1), false).empty();
  }

 private:
  struct Event {
    Milliseconds at{0};
    std::function<void(Milliseconds)> run;
  };

  void Step(std::size_t number, Milliseconds now) {
    QueueServices& holder = *m_holders[number];
    if (now == m_begin[number]) {
      holder.WhenRegistered(OfHolder(static_cast<int>(number)),
                            [this](bool done) { m_registered += done ? 1 : 0; });
    }
    const auto call = holder.TakeCall(now);
    if (!call) return;
    const unsigned fate = m_random() % 10;
    const Milliseconds execution = now + Milliseconds(1 + m_random() % 20);
    if (fate == 0) {
      // No answer; it is executed late, or never.
      const bool executed = m_random() % 2 == 0;
      const Milliseconds late = now + Milliseconds(m_random() % 3000);
      if (executed) {
        m_events.push_back({late, [this, call](Milliseconds) { m_topic.Execute(*call); }});
      }
      m_events.push_back({now + Milliseconds(config::kStoreTimeoutMs),
                          [&holder](Milliseconds at) { holder.OnReply({}, at); }});
      return;
    }
    const Milliseconds way_back(1 + m_random() % 20);
    m_events.push_back({execution, [this, &holder, call, way_back](Milliseconds at) {
                          const StoreReply reply = m_topic.Execute(*call);
                          m_events.push_back({at + way_back, [&holder, reply](Milliseconds then) {
                                                holder.OnReply(reply, then);
                                              }});
                        }});
  }

  std::mt19937 m_random;
  Topic m_topic;
  std::vector<std::unique_ptr<QueueServices>> m_holders;
  std::vector<Milliseconds> m_begin;
  std::vector<Event> m_events;
  int m_registered = 0;
};

// Guards against two holders that register at the same time and don't know of each other, so that
// both accept one job.
TEST_CASE("of two holders that register at the same time, one knows of the other") {
  int violations = 0;
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    RandomPlay play(seed);
    violations += play.Violates() ? 1 : 0;
  }
  CHECK(violations == 0);
}

}  // namespace
}  // namespace endivewood::testing
