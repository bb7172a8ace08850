/// @file
/// Checks the dispatcher against a simple count of requests and slots.
#include "dispatch.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "dispatch_fixture.h"

namespace endivewood::testing {
namespace {

/// Runs a Dispatcher and checks each action against its own counts.
class CheckedDispatcher {
 public:
  explicit CheckedDispatcher(const DispatchOptions& options) : m_dispatcher(options) {}

  void SetView(const FleetView& view) {
    m_view = std::make_shared<FleetView>(view);
    Handle(ViewChanged{.view = m_view});
  }

  SlotTicket Arrive(const SlotRequest& request) {
    const SlotTicket ticket{.id = ++m_last_ticket};
    m_requests[ticket] = request;
    Handle(RequestArrived{.ticket = ticket, .request = request});
    return ticket;
  }

  void Cancel(SlotTicket ticket) { Handle(RequestCancelled{.ticket = ticket}); }

  void End(std::uint64_t grant, SlotOutcome outcome, Milliseconds run_time) {
    m_running.erase(grant);
    Handle(RequestEnded{.grant = grant, .outcome = outcome, .run_time = run_time});
  }

  void Advance(Milliseconds duration) {
    m_now += duration;
    Handle(ClockTicked{});
  }

  void Handle(const DispatchEvent& event) {
    for (const DispatchAction& action : m_dispatcher.Handle(event, m_now)) {
      std::visit([&](const auto& typed) { Check(typed); }, action);
    }
    const DispatchStats stats = m_dispatcher.Stats();
    RC_ASSERT(stats.running_short + stats.running_long == m_running.size());
    RC_ASSERT(stats.waiting_short + stats.waiting_long + m_answered.size() == m_requests.size());
    RC_ASSERT(stats.ejected <= m_view->instances.size() / 2);
  }

  std::size_t Waiting() const { return m_requests.size() - m_answered.size(); }
  const std::map<std::uint64_t, SlotGrant>& running() const { return m_running; }
  const std::vector<CheckpointTask>& checkpoints() const { return m_checkpoints; }
  const std::map<SlotTicket, ResultCode>& answered() const { return m_answered; }

 private:
  void Check(const GrantSlot& action) {
    RC_ASSERT(m_answered.emplace(action.ticket, ResultCode::kOk).second);
    RC_ASSERT(m_requests.contains(action.ticket));
    RC_ASSERT(m_running.emplace(action.grant.id, action.grant).second);
    const InstanceView& instance = m_view->instances.at(action.grant.upstream);
    RC_ASSERT(instance.state == InstanceState::kReady);
    RC_ASSERT(instance.data_centre == Here());
    RC_ASSERT(instance.assignment == action.grant.assignment);
    const auto on_instance = std::ranges::count_if(
        m_running, [&](const auto& item) { return item.second.upstream == instance.name; });
    RC_ASSERT(on_instance <= instance.slots);
  }

  void Check(const RefuseRequest& action) {
    RC_ASSERT(m_answered.emplace(action.ticket, action.reason.code).second);
    RC_ASSERT(action.reason.code != ResultCode::kOk);
  }

  void Check(const CheckpointTask& action) {
    RC_ASSERT(m_running.contains(action.grant.id));
    m_checkpoints.push_back(action);
  }

  void Check(const ProbeUpstream& action) {
    RC_ASSERT(m_view->instances.at(action.instance).state == InstanceState::kReady);
    m_probed.push_back(action);
  }

  Dispatcher m_dispatcher;
  std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>();
  Milliseconds m_now{0};
  std::uint64_t m_last_ticket = 0;
  std::map<SlotTicket, SlotRequest> m_requests;
  std::map<SlotTicket, ResultCode> m_answered;
  std::map<std::uint64_t, SlotGrant> m_running;
  std::vector<CheckpointTask> m_checkpoints;
  std::vector<ProbeUpstream> m_probed;
};

constexpr Milliseconds kNever = Milliseconds::max();

SlotRequest Short() { return {.service = Quick()}; }
SlotRequest Long() {
  return {.service = Quick(), .work_class = WorkClass::kLong, .queue_deadline = kNever};
}

std::uint64_t AnyRunning(const CheckedDispatcher& dispatcher, int choice) {
  auto item = dispatcher.running().begin();
  std::advance(item, choice % static_cast<int>(dispatcher.running().size()));
  return item->first;
}

/// Performs one random step.
void Step(CheckedDispatcher* dispatcher, FleetView* view, int step) {
  const int choice = step / 10;
  switch (step % 10) {
    case 0:
    case 1:
      dispatcher->Arrive(Short());
      return;
    case 2:
      dispatcher->Arrive(Long());
      return;
    case 3: {
      SlotRequest retried = Short();
      retried.avoid = {InstanceNumber(choice % 3)};
      dispatcher->Arrive(retried);
      return;
    }
    case 4:
    case 5:
      if (dispatcher->running().empty()) return;
      // One outcome of eight, so that some upstreams are ejected and some refuse.
      dispatcher->End(AnyRunning(*dispatcher, choice), static_cast<SlotOutcome>(choice % 8),
                      Milliseconds(choice));
      return;
    case 6: {
      InstanceView& instance = view->instances[InstanceNumber(choice % 3)];
      instance.state = static_cast<InstanceState>(choice / 3 % 4);
      ++instance.version;
      if (instance.state == InstanceState::kReady) ++instance.assignment;
      dispatcher->SetView(*view);
      return;
    }
    case 7:
      dispatcher->Cancel({.id = static_cast<std::uint64_t>(choice)});
      return;
    case 8:
      dispatcher->Handle(
          ProbeAnswered{.instance = InstanceNumber(choice % 3), .healthy = choice % 2 == 0});
      return;
    default:
      dispatcher->Advance(Milliseconds(choice * 10));
      return;
  }
}

// Guards against a slot that is granted twice, a grant to an instance that drains or is lost, a
// request that is answered twice or never, and a loss of slots over time.
TEST_CASE("every request is answered once and only free slots of ready instances are granted") {
  CHECK(rc::check([] {
    FleetView view = MakeView({.instances = 3, .slots = 2});
    CheckedDispatcher dispatcher({.data_centre = Here(), .queue_limit = 20});
    dispatcher.SetView(view);
    const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1000));
    for (const int step : steps) Step(&dispatcher, &view, step);
    // Long work has no deadline here, so only a stop answers it.
    dispatcher.Handle(DispatchStopped{});
    RC_ASSERT(dispatcher.Waiting() == 0U);
    while (!dispatcher.running().empty()) {
      dispatcher.End(AnyRunning(dispatcher, 0), SlotOutcome::kCancelled, Milliseconds(1));
    }
  }));
}

// Guards against cancellations that lose a slot or free one twice: after a burst of them, exactly
// as many requests can run as there are slots.
TEST_CASE("a burst of cancellations conserves the slots") {
  CHECK(rc::check([] {
    constexpr int kBurst = 500;
    CheckedDispatcher dispatcher({.data_centre = Here(), .refuse_early = false});
    dispatcher.SetView(MakeView({.instances = 3, .slots = 4}));
    std::vector<SlotTicket> tickets;
    tickets.reserve(kBurst);
    for (int count = 0; count < kBurst; ++count) tickets.push_back(dispatcher.Arrive(Short()));
    const auto order = *rc::gen::container<std::vector<int>>(kBurst, rc::gen::inRange(0, kBurst));
    for (const int index : order) {
      const SlotTicket ticket = tickets[static_cast<std::size_t>(index)];
      dispatcher.Cancel(ticket);
      // A repeated release of the same grant must have no effect.
      if (dispatcher.running().contains(ticket.id)) {
        dispatcher.End(ticket.id, SlotOutcome::kCancelled, Milliseconds(1));
        dispatcher.End(ticket.id, SlotOutcome::kCancelled, Milliseconds(1));
      }
    }
    for (const SlotTicket ticket : tickets) dispatcher.Cancel(ticket);
    RC_ASSERT(dispatcher.Waiting() == 0U);
    for (int count = 0; count < 20; ++count) dispatcher.Arrive(Short());
    RC_ASSERT(dispatcher.running().size() == 12U);
  }));
}

// Guards against an ejected upstream that still receives work, and against one that is never
// readmitted.
TEST_CASE("an upstream that fails everything receives no work until its probe succeeds") {
  CheckedDispatcher dispatcher({.data_centre = Here()});
  dispatcher.SetView(MakeView({.instances = 3, .slots = 1}));
  const auto serve = [&](int requests) {
    int failed = 0;
    for (int count = 0; count < requests; ++count) {
      const SlotTicket ticket = dispatcher.Arrive(Short());
      const bool bad = dispatcher.running().at(ticket.id).upstream == InstanceNumber(0);
      failed += bad ? 1 : 0;
      dispatcher.End(ticket.id, bad ? SlotOutcome::kFailed : SlotOutcome::kSucceeded,
                     Milliseconds(1));
    }
    return failed;
  };
  CHECK(serve(100) == 5);
  dispatcher.Advance(Milliseconds(1000));
  dispatcher.Handle(ProbeAnswered{.instance = InstanceNumber(0), .healthy = true});
  CHECK(serve(100) == 1);
}

// Guards against short work that waits behind long work, and against callers that wait for a slot
// that they can't get before their deadline.
TEST_CASE("short work preempts long work and is refused at once when it can't start in time") {
  CheckedDispatcher dispatcher({.data_centre = Here()});
  dispatcher.SetView(MakeView({.instances = 1, .slots = 8}));
  for (int count = 0; count < 20; ++count) dispatcher.Arrive(Long());
  CHECK(dispatcher.running().size() == 6);
  for (int count = 0; count < 4; ++count) dispatcher.Arrive(Short());
  CHECK(dispatcher.checkpoints().size() >= 2);
  // The youngest long tasks are checkpointed, so that the oldest one completes.
  for (const CheckpointTask& task : dispatcher.checkpoints()) CHECK(task.grant.id != 1);
  dispatcher.End(21, SlotOutcome::kSucceeded, Milliseconds(500));
  SlotTicket last;
  for (int count = 0; count < 100; ++count) last = dispatcher.Arrive(Short());
  REQUIRE(dispatcher.answered().contains(last));
  CHECK(dispatcher.answered().at(last) == ResultCode::kNotRunDeadline);
}

// Guards against a service that is declared short and runs long.
TEST_CASE("the work class follows the observed run time") {
  CheckedDispatcher dispatcher({.data_centre = Here()});
  dispatcher.SetView(MakeView({.instances = 1, .slots = 8}));
  const SlotTicket slow = dispatcher.Arrive(Short());
  dispatcher.Advance(Milliseconds(config::kShortRunLimitMs));
  for (int count = 0; count < 8; ++count) dispatcher.Arrive(Short());
  REQUIRE(dispatcher.checkpoints().size() == 1);
  CHECK(dispatcher.checkpoints().front().grant.id == slow.id);
  for (int count = 0; count < 40; ++count) {
    dispatcher.Arrive(Short());
    if (dispatcher.running().empty()) break;
    dispatcher.End(AnyRunning(dispatcher, 0), SlotOutcome::kSucceeded, Milliseconds(5000));
  }
  while (!dispatcher.running().empty()) {
    dispatcher.End(AnyRunning(dispatcher, 0), SlotOutcome::kSucceeded, Milliseconds(5000));
  }
  dispatcher.Advance(Milliseconds(20000));
  const SlotTicket next = dispatcher.Arrive(Short());
  CHECK(dispatcher.running().at(next.id).work_class == WorkClass::kLong);
}

}  // namespace
}  // namespace endivewood::testing
