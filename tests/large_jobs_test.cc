/// @file
/// Jobs near the largest permitted size. Guards against placement passes that keep the process from
/// everything else: its membership of the group lapses meanwhile, and callers get no answer.
#include <catch2/catch.hpp>
#include <ctime>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

using std::chrono::microseconds;

/// The share of a core that an instance of the deployments has.
constexpr double kInstanceCores = 0.25;

/// Processor time of the longest call of a scheduler: the shortest requests should be answered in
/// 600 ms, so the process mustn't stand still for longer.
constexpr microseconds kMaxCallTime(static_cast<int>(600000 * kInstanceCores));

microseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(time.tv_nsec));
}

constexpr Capacity kUpstreamCapacity{.cpu_millicores = 32000, .memory_mb = 65536, .gpus = 0};

/// A holder and its upstreams, as in SchedulerSimulation, but without the checks of each step,
/// which take longer than the scheduler. Measures the processor time of the scheduler's calls.
class LargeJobPlay {
 public:
  explicit LargeJobPlay(int upstreams_count) {
    SetEventSink({.enabled = [](EventLevel level) { return level != EventLevel::kDebug; },
                  .write = [this](Event event, const auto&) { ++events[event]; }});
    for (int number = 0; number < upstreams_count; ++number) {
      auto upstream = std::make_unique<FakeUpstream>();
      upstream->entry = {.id = UpstreamId("u" + std::to_string(number)),
                         .service = test_service,
                         .endpoint = {.address = "127.0.0.1", .port = 1},
                         .data_centre = DataCentreName("dc"),
                         .capacity = kUpstreamCapacity,
                         .rack = RackName("r1"),
                         .start_time = 1};
      m_by_id[upstream->entry.id] = upstream.get();
      upstreams.push_back(std::move(upstream));
    }
    StartNewHolder();
    Run(Milliseconds(1000));
  }
  ~LargeJobPlay() { SilenceEvents(); }
  LargeJobPlay(const LargeJobPlay&) = delete;
  LargeJobPlay& operator=(const LargeJobPlay&) = delete;

  /// Starts a scheduler from the stored records. Orders of the former one get no answer.
  void StartNewHolder() {
    m_answers.clear();
    m_starts_in_flight.clear();
    m_renewals.clear();
    holder = std::make_unique<JobScheduler>(SchedulerOptions{.partition = 1, .epoch = ++m_epoch});
    for (const auto& [key, value] : m_store) holder->Restore({.key = key, .value = value});
    Measure([&] { holder->FinishRestore(now, Milliseconds{0}, now + Milliseconds(10200)); });
  }

  void Submit(const std::string& id, const StepSpec& step) { Submit(id, {step}, 0); }

  void Submit(const std::string& id, const std::vector<StepSpec>& steps, int occurrences) {
    const JobSpec spec{.id = JobId(id),
                       .queue = QueueName("q"),
                       .service = test_service,
                       .payload = "text",
                       .steps = steps,
                       .occurrences = occurrences};
    m_specs[spec.id] = spec;
    Measure([&] { holder->Submit(spec, test_policy, now); });
  }

  void Run(Milliseconds duration) {
    const Milliseconds end = now + duration;
    while (now < end) Step();
  }

  /// @returns the number of running tasks of a job.
  int RunningOf(const std::string& job) const {
    int running = 0;
    for (const auto& upstream : upstreams) {
      for (const auto& [task, run] : upstream->running) running += task.job == JobId(job) ? 1 : 0;
    }
    return running;
  }

  Milliseconds now{1000};
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  std::unique_ptr<JobScheduler> holder;
  std::map<Event, int> events;               ///< Numbers of logged events.
  std::map<Event, int> most_events_of_step;  ///< In one call of Step.
  Milliseconds answer_time{10};              ///< From a start or stop to its answer.
  int most_starts_of_pass = 0;
  int most_starts_in_flight = 0;  ///< At one upstream.
  microseconds longest_call{0};
  microseconds time_of_all_calls{0};

 private:
  /// A renewal that waits for the end of a run.
  struct Renewal {
    RenewOrder order;
    Milliseconds until{0};
  };

  struct Answer {
    Milliseconds at{0};
    std::function<void()> report;
  };

  template <typename Call>
  void Measure(Call call) {
    const microseconds before = ThreadCpuTime();
    call();
    const microseconds took = ThreadCpuTime() - before;
    longest_call = std::max(longest_call, took);
    time_of_all_calls += took;
  }

  void Step() {
    now += Milliseconds(10);
    m_events_before_step = events;
    for (const auto& upstream : upstreams) upstream->Advance(now);
    if (now.count() % 500 == 0) PublishUpstreams();
    AnswerOrders();
    AnswerRenewals();
    if (holder->NextDue(now) <= now) {
      Measure([&] { holder->Run(now, Milliseconds{0}, {.confirmed_at = now}); });
    }
    int starts = 0;
    for (const UpstreamOrder& order : holder->TakeOrders()) {
      starts += std::holds_alternative<StartOrder>(order) ? 1 : 0;
      Execute(order);
    }
    most_starts_of_pass = std::max(most_starts_of_pass, starts);
    StoreBatch();
    for (const auto& [event, count] : events) {
      int& most = most_events_of_step[event];
      most = std::max(most, count - m_events_before_step[event]);
    }
  }

  void AnswerOrders() {
    std::vector<Answer> due;
    std::erase_if(m_answers, [&](const Answer& answer) {
      if (now < answer.at) return false;
      due.push_back(answer);
      return true;
    });
    for (const Answer& answer : due) answer.report();
  }

  void PublishUpstreams() {
    std::vector<UpstreamEntry> entries;
    for (const auto& upstream : upstreams) entries.push_back(upstream->entry);
    Measure([&] { holder->SetUpstreams(entries, now); });
    Measure([&] { holder->Demand(test_service, now); });
  }

  void AnswerRenewals() {
    std::vector<Renewal> due;
    std::erase_if(m_renewals, [&](const Renewal& renewal) {
      const bool waits = m_by_id.at(renewal.order.upstream)->ended.empty() && now < renewal.until;
      if (!waits) due.push_back(renewal);
      return !waits;
    });
    for (const Renewal& renewal : due) {
      const RenewOrder& order = renewal.order;
      const RenewReply reply =
          m_by_id.at(order.upstream)->Renew(order, order.target.fencing_token, now);
      Measure([&] { holder->OnRenewed(order, reply, now); });
    }
  }

  void Execute(const UpstreamOrder& order) {
    if (const auto* renew = std::get_if<RenewOrder>(&order)) {
      m_by_id.at(renew->upstream)->Renew(*renew, renew->target.fencing_token, now);
      m_renewals.push_back({.order = *renew, .until = now + renew->wait});
    } else if (const auto* start = std::get_if<StartOrder>(&order)) {
      const StepSpec& step = m_specs.at(start->task.job).steps[start->task.step];
      const OrderReply reply =
          m_by_id.at(start->upstream)
              ->Start(*start, start->target.fencing_token, step, step.estimate, now);
      int& in_flight = m_starts_in_flight[start->upstream];
      most_starts_in_flight = std::max(most_starts_in_flight, ++in_flight);
      const auto report = [this, start = *start, reply] {
        --m_starts_in_flight[start.upstream];
        Measure([&] { holder->OnStarted(start, reply, now); });
      };
      m_answers.push_back({.at = now + answer_time, .report = report});
    } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
      const OrderReply reply =
          m_by_id.at(stop->upstream)->Stop(*stop, stop->target.fencing_token, now);
      const auto report = [this, stop = *stop, reply] {
        Measure([&] { holder->OnStopped(stop, reply, now); });
      };
      m_answers.push_back({.at = now + answer_time, .report = report});
    }
  }

  void StoreBatch() {
    std::optional<DurableBatch> batch;
    Measure([&] { batch = holder->TakeBatch(); });
    if (!batch) return;
    for (const KeyedRecord& record : batch->records) m_store[record.key] = record.value;
    Measure([&] { holder->OnDurable(batch->change); });
  }

  std::map<Event, int> m_events_before_step;
  std::map<UpstreamId, FakeUpstream*> m_by_id;
  std::map<JobId, JobSpec> m_specs;
  std::map<std::string, std::string> m_store;
  std::vector<Answer> m_answers;
  std::map<UpstreamId, int> m_starts_in_flight;
  std::vector<Renewal> m_renewals;
  std::uint64_t m_epoch = 0;
};

/// A step of `count` tasks that need little capacity.
StepSpec SmallTasks(int count) {
  StepSpec step = Step(count, 10);
  step.memory_mb = 1;
  return step;
}

StepSpec SmallLastingTasks(int count) {
  StepSpec step = SmallTasks(count);
  step.lasting = true;
  return step;
}

/// Checks the calls since the play began, or since the last check, which have taken `duration`.
void CheckCallTimes(LargeJobPlay* play, Milliseconds duration) {
  CHECK(play->longest_call <= kMaxCallTime);
  CHECK(play->time_of_all_calls <= kInstanceCores * duration);
  play->longest_call = microseconds{0};
  play->time_of_all_calls = microseconds{0};
}

// Guards against counting the step's tasks on each upstream anew for each task.
TEST_CASE("a job of the largest size with a limit per upstream starts at once") {
  LargeJobPlay play(8);
  StepSpec step = SmallLastingTasks(config::kMaxTasksPerJob);
  step.max_per_upstream = 600;
  play.Submit("job", step);
  play.Run(Milliseconds(3000));
  CHECK(play.RunningOf("job") == 8 * 600);
  CheckCallTimes(&play, Milliseconds(4000));
}

// Guards against the same in the first passes of the next holder.
TEST_CASE("the next holder of a job of the largest size with a limit per upstream adopts it") {
  LargeJobPlay play(8);
  StepSpec step = SmallLastingTasks(config::kMaxTasksPerJob);
  step.max_per_upstream = 600;
  play.Submit("job", step);
  play.Run(Milliseconds(3000));
  CheckCallTimes(&play, Milliseconds(4000));
  play.StartNewHolder();
  play.Run(Milliseconds(3000));
  CHECK(play.RunningOf("job") == 8 * 600);
  CheckCallTimes(&play, Milliseconds(3000));
}

// Guards against starts that wait at their upstream's connections until they are given up, and
// against renewals that wait behind them.
TEST_CASE("the starts of a large job wait for answers to earlier ones, not at the connections") {
  const bool lasting = GENERATE(true, false);
  const int upstreams = GENERATE(8, 100);
  CAPTURE(lasting, upstreams);
  LargeJobPlay play(upstreams);
  StepSpec step = SmallTasks(config::kMaxTasksPerJob);
  step.lasting = lasting;
  step.estimate = Milliseconds(60000);
  play.answer_time = Milliseconds(100);
  play.Submit("job", step);
  play.Run(Milliseconds(6000));
  CHECK(play.most_starts_in_flight <= config::kMaxUnansweredStarts);
  CHECK(play.RunningOf("job") == config::kMaxTasksPerJob);
  CheckCallTimes(&play, Milliseconds(7000));
}

// Guards against a pass that keeps the process from everything else while it sends thousands of
// starts.
TEST_CASE("one placement pass starts a limited number of tasks") {
  LargeJobPlay play(100);
  play.Submit("job", SmallLastingTasks(config::kMaxTasksPerJob));
  play.Run(Milliseconds(3000));
  CHECK(play.most_starts_of_pass <= config::kMaxPlacementsPerPass);
  CHECK(play.RunningOf("job") == config::kMaxTasksPerJob);
  CheckCallTimes(&play, Milliseconds(4000));
}

// Guards against a search, a log line and a place in the demand for each task of a step whose tasks
// all need the same.
TEST_CASE("a large lasting step without room is searched for and logged once") {
  LargeJobPlay play(100);
  StepSpec step = SmallLastingTasks(config::kMaxTasksPerJob);
  const int shape = GENERATE(0, 1);
  if (shape == 0) step.memory_mb = kUpstreamCapacity.memory_mb + 1;
  if (shape == 1) step.required_label = "nowhere";
  CAPTURE(shape);
  play.Submit("job", step);
  play.Run(Milliseconds(3000));
  CHECK(play.events[Event::kTaskUnplaced] > 0);
  CHECK(play.events[Event::kTaskUnplaced] <= 3);
  CheckCallTimes(&play, Milliseconds(4000));
}

// Guards against a look at all upstreams for the log line of each waiting job in one pass.
TEST_CASE("many lasting jobs without room don't hold up their process") {
  LargeJobPlay play(100);
  StepSpec step = SmallLastingTasks(2);
  const int shape = GENERATE(0, 1);
  if (shape == 0) step.memory_mb = kUpstreamCapacity.memory_mb + 1;
  if (shape == 1) step.required_label = "nowhere";
  CAPTURE(shape);
  for (int job = 0; job < 5000; ++job) play.Submit("job" + std::to_string(job), step);
  play.Run(Milliseconds(3000));
  CHECK(play.most_events_of_step[Event::kTaskUnplaced] <= config::kMaxWaitReportsPerPass);
  CheckCallTimes(&play, Milliseconds(4000));
}

// Guards against sorting the ends of all short runs anew for each lasting task that waits for them.
TEST_CASE("a large lasting step gets the room that short tasks leave") {
  LargeJobPlay play(8);
  StepSpec short_step = SmallTasks(8 * 600);
  short_step.max_per_upstream = 600;
  short_step.cpu_millicores = kUpstreamCapacity.cpu_millicores / 600;
  short_step.estimate = Milliseconds(5000);
  play.Submit("short", short_step);
  play.Run(Milliseconds(2000));
  REQUIRE(play.RunningOf("short") == 8 * 600);
  CheckCallTimes(&play, Milliseconds(3000));
  StepSpec step = SmallLastingTasks(config::kMaxTasksPerJob);
  play.Submit("job", step);
  play.Run(Milliseconds(3000));
  CheckCallTimes(&play, Milliseconds(3000));
  play.Run(Milliseconds(4000));
  CHECK(play.RunningOf("job") == config::kMaxTasksPerJob);
  CheckCallTimes(&play, Milliseconds(4000));
}

TEST_CASE("a large short job doesn't hold up its process") {
  LargeJobPlay play(8);
  StepSpec step = SmallTasks(config::kMaxTasksPerJob);
  const int shape = GENERATE(0, 1, 2);
  if (shape == 0) step.max_per_upstream = 600;
  if (shape == 1) step.required_label = "nowhere";
  CAPTURE(shape);
  play.Submit("job", step);
  play.Run(Milliseconds(4000));
  const auto state = play.holder->StateOf(JobId("job"));
  CHECK(state == (shape == 1 ? JobState::kQueued : JobState::kComplete));
  CheckCallTimes(&play, Milliseconds(5000));
}

// Guards against counting the tasks at work anew for each task that has to leave: the leases of the
// other upstreams would end meanwhile.
TEST_CASE(
    "the lasting tasks of a large job leave a draining upstream without holding up the rest") {
  LargeJobPlay play(8);
  StepSpec step = SmallLastingTasks(4500);
  step.max_per_upstream = 600;
  step.max_unavailable = GENERATE(2, 4500);
  CAPTURE(step.max_unavailable);
  play.Submit("job", step);
  play.Run(Milliseconds(4000));
  REQUIRE(play.RunningOf("job") == 4500);
  CheckCallTimes(&play, Milliseconds(5000));
  play.upstreams[0]->entry.draining = true;
  play.Run(Milliseconds(6000));
  CHECK(play.RunningOf("job") >= 4500 - step.max_unavailable);
  CHECK(play.upstreams[0]->running.size() < 4500 / 8);
  CHECK(play.events[Event::kUpstreamLeaseEnded] == 0);
  CheckCallTimes(&play, Milliseconds(6000));
}

// Guards against summing up the work of all occurrences anew at each end of a task.
TEST_CASE("a job with many occurrences that are due doesn't hold up its process") {
  LargeJobPlay play(8);
  const std::vector<StepSpec> steps(50, SmallTasks(1));
  play.Submit("job", steps, 500);
  play.Run(Milliseconds(6000));
  CHECK(play.holder->StateOf(JobId("job")) == JobState::kComplete);
  CheckCallTimes(&play, Milliseconds(7000));
}

// Guards against choosing an upstream for each member of a gang that can't start.
TEST_CASE("a large gang without room doesn't hold up its process") {
  LargeJobPlay play(100);
  StepSpec step = SmallTasks(config::kMaxTasksPerJob);
  step.gang = true;
  step.cpu_millicores = 400;
  play.Submit("job", step);
  play.Run(Milliseconds(3000));
  CHECK(play.RunningOf("job") == 0);
  CheckCallTimes(&play, Milliseconds(4000));
}

}  // namespace
}  // namespace endivewood::testing
