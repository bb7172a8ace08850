/// @file
/// Tests of the thread-safe allocator: grants, cancellation, deadlines and checkpoints.
#include "slot_allocator.h"

#include <catch2/catch.hpp>

#include "dispatch_fixture.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kRunTime(10);

std::unique_ptr<SlotAllocator> MakeAllocator(const Clock& clock, const FleetView& view) {
  auto allocator =
      std::make_unique<SlotAllocator>(clock, SlotAllocatorOptions{.data_centre = Here()});
  allocator->SetView(std::make_shared<FleetView>(view));
  return allocator;
}

// Guards against a slot that is granted twice and against a release that frees two slots.
TEST_CASE("slots are granted up to the slot count and freed once") {
  Clock clock;
  clock.Pause();
  const auto allocator = MakeAllocator(clock, MakeView({.instances = 1, .slots = 2}));
  const SlotRequest request{.service = Quick()};
  const auto first = allocator->Acquire(request, nullptr);
  const auto second = allocator->Acquire(request, nullptr);
  REQUIRE(first);
  REQUIRE(second);
  std::atomic<int> answers{0};
  const SlotTicket third = allocator->Submit(request, [&](const SlotResult&) { ++answers; });
  allocator->Release(*first, SlotOutcome::kSucceeded, kRunTime);
  allocator->Release(*first, SlotOutcome::kSucceeded, kRunTime);
  CHECK(answers == 1);
  CHECK_FALSE(allocator->Cancel(third));
  CHECK(allocator->Stats().in_use == 2);
}

// Guards against an Acquire that can't be cancelled or waits past its deadline.
TEST_CASE("a waiting acquire ends by cancellation, by its deadline and by a stop") {
  Clock clock;
  clock.Pause();
  const auto allocator = MakeAllocator(clock, MakeView({.instances = 1, .slots = 1}));
  REQUIRE(allocator->Acquire({.service = Quick()}, nullptr));
  const auto outcome = [&](const std::function<void()>& end, CancelToken* token) {
    Reason reason;
    std::thread waiter([&] { allocator->Acquire({.service = Quick()}, &reason, token); });
    while (allocator->Stats().waiting_short == 0) std::this_thread::yield();
    end();
    waiter.join();
    return reason.code;
  };
  CancelToken token;
  CHECK(outcome([&] { token.Cancel(); }, &token) == ResultCode::kNotRunCancelled);
  CHECK(outcome([&] { clock.Advance(Milliseconds(2000)); }, nullptr) ==
        ResultCode::kNotRunDeadline);
  CHECK(outcome([&] { allocator->Stop(); }, nullptr) == ResultCode::kNotRunStopping);
}

// Guards against long work that keeps a slot for which short work waits, against a checkpoint
// request that isn't delivered, and against resumed work that goes to the end of the queue.
TEST_CASE("long work is asked to checkpoint and resumes before younger work") {
  Clock clock;
  clock.Pause();
  std::vector<SlotGrant> checkpoint_requests;
  std::vector<int> order;
  std::mutex mutex;
  SlotAllocator allocator(clock, {.data_centre = Here(), .on_checkpoint = [&](const SlotGrant& g) {
                                    std::lock_guard lock(mutex);
                                    checkpoint_requests.push_back(g);
                                  }});
  allocator.SetView(std::make_shared<FleetView>(MakeView({.instances = 1, .slots = 2})));
  SlotRequest task{
      .service = Quick(), .work_class = WorkClass::kLong, .queue_deadline = std::chrono::hours(1)};
  const auto started = allocator.Acquire(task, nullptr);
  REQUIRE(started);
  const auto request = allocator.Acquire({.service = Quick()}, nullptr);
  REQUIRE(request);
  const std::vector<SlotGrant> expected{*started};
  REQUIRE(checkpoint_requests == expected);
  clock.Advance(Milliseconds(10));
  allocator.Release(*started, SlotOutcome::kCheckpointed, Milliseconds(10));
  const auto submit = [&](int number) {
    allocator.Submit(task, [&, number](const SlotResult&) {
      std::lock_guard lock(mutex);
      order.push_back(number);
    });
  };
  submit(2);
  task.age = Milliseconds(10);
  submit(1);
  allocator.Release(*request, SlotOutcome::kSucceeded, Milliseconds(10));
  // The number of reserved slots falls to its minimum as the arrival rate decays.
  clock.Advance(Milliseconds(10 * 1000));
  const auto answered = [&] {
    std::lock_guard lock(mutex);
    return order.size();
  };
  while (answered() < 1) std::this_thread::yield();
  CHECK(allocator.Stats().waiting_long == 1);
  allocator.Stop();
  CHECK(order.front() == 1);
}

}  // namespace
}  // namespace endivewood::testing
