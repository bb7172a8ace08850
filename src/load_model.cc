/// @file
/// Discrete-event simulation of one data centre under generated load.
#include "load_model.h"

#include <algorithm>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

namespace endivewood {
namespace {

constexpr int kSplitEntries = 2;
constexpr double kShortShape = 4.0;
constexpr double kMsPerSecond = 1000.0;

/// A simulated request.
struct Job {
  std::size_t service = 0;
  WorkClass work_class = WorkClass::kShort;
  std::size_t window = 0;
  bool measured = false;  ///< Counts in its window.
  Milliseconds arrived{0};
  double remaining_ms = 0.0;
  std::size_t entry = 0;
  std::uint64_t grant = 0;
  Milliseconds started{0};
};

enum class EventKind : std::uint8_t { kTick, kArrival, kEnd, kCheckpointed };

struct Event {
  Milliseconds time{0};
  std::uint64_t sequence = 0;
  EventKind kind = EventKind::kTick;
  std::size_t job = 0;
  std::uint64_t grant = 0;  ///< The event is stale when the job has another grant.
  Milliseconds stopped{0};  ///< Time when a checkpointed job stopped making progress.

  bool operator>(const Event& other) const {
    return std::tie(time, sequence) > std::tie(other.time, other.sequence);
  }
};

ServiceName ServiceNameOf(std::size_t number) { return ServiceName("s" + std::to_string(number)); }

class Simulation {
 public:
  Simulation(const LoadModel& model, const LoadRun& run)
      : m_model(model), m_run(run), m_random(run.seed + kLongSeedOffset) {
    const std::size_t services = model.upstreams.size();
    const std::size_t windows =
        run.peaks ? services * static_cast<std::size_t>(model.cycles) : services;
    m_result.windows.resize(windows);
    const Milliseconds cycle = model.peak_length * static_cast<int>(services);
    m_end = run.peaks ? cycle * model.cycles : model.ordinary_length;
    // The last requests start or are refused within their queue deadline after arrivals end.
    m_horizon = m_end + model.short_deadline + Milliseconds(config::kDispatchTickMs);
    const int entries = run.policy == Policy::kSplit ? kSplitEntries : 1;
    for (int entry = 0; entry < entries; ++entry) AddDispatcher(entries);
  }

  LoadResult Run() {
    for (std::size_t service = 0; service < m_model.upstreams.size(); ++service) {
      AddShortJobs(service);
      for (std::size_t count = 0; m_run.with_long && count < m_model.long_backlog; ++count) {
        AddLongJob(service, Milliseconds(0));
      }
    }
    Schedule({.time = Milliseconds(0), .kind = EventKind::kTick});
    while (!m_events.empty() && m_events.top().time <= m_horizon) {
      const Event event = m_events.top();
      m_events.pop();
      Apply(event);
    }
    CountSlotTime();
    return std::move(m_result);
  }

 private:
  static constexpr std::uint64_t kLongSeedOffset = 1000003;

  void AddDispatcher(int entries) {
    const bool fifo = m_run.policy == Policy::kFifo;
    const auto limit = fifo ? m_end * 2 : Milliseconds(config::kShortRunLimitMs);
    const DataCentreName here("here");
    m_dispatchers.push_back(std::make_unique<Dispatcher>(
        DispatchOptions{.data_centre = here, .short_run_limit = limit, .refuse_early = !fifo}));
    const auto view = std::make_shared<FleetView>();
    for (std::size_t service = 0; service < m_model.upstreams.size(); ++service) {
      const PoolName pool("p" + std::to_string(service));
      view->config.pools.push_back({.name = pool});
      view->config.services.push_back({.name = ServiceNameOf(service), .pool = pool});
      for (int number = 0; number < m_model.upstreams[service]; ++number) {
        const InstanceName name("i" + std::to_string(service) + "-" + std::to_string(number));
        view->instances[name] = {
            .name = name, .data_centre = here, .slots = m_model.slots / entries, .pool = pool};
      }
    }
    m_dispatchers.back()->Handle(ViewChanged{.view = view}, Milliseconds(0));
  }

  double RateFactor(std::size_t service, Milliseconds time) const {
    if (!m_run.peaks) return 1.0;
    const auto period = static_cast<std::size_t>(time / m_model.peak_length);
    const bool peak = period % m_model.upstreams.size() == service;
    return peak ? m_model.peak_factor : m_model.trough_factor;
  }

  /// Generates the arrivals of one service; the rate is constant within each peak period.
  void AddShortJobs(std::size_t service) {
    std::mt19937_64 random(m_run.seed * m_model.upstreams.size() + service);
    const double slots = m_model.upstreams[service] * m_model.slots;
    const double mean_rate = slots * m_model.utilisation / m_model.short_run_ms;
    std::gamma_distribution<double> run_ms(kShortShape, m_model.short_run_ms / kShortShape);
    for (Milliseconds period(0); period < m_end; period += m_model.peak_length) {
      const double rate = mean_rate * RateFactor(service, period);
      std::exponential_distribution<double> gap(rate);
      const auto length = static_cast<double>(m_model.peak_length.count());
      for (double offset = gap(random); offset < length; offset += gap(random)) {
        const Milliseconds time = period + Milliseconds(static_cast<std::int64_t>(offset));
        Job job{.service = service, .arrived = time, .remaining_ms = run_ms(random)};
        job.entry = random() % m_dispatchers.size();
        job.measured = !m_run.peaks || RateFactor(service, period) > 1.0;
        const auto period_number = static_cast<std::size_t>(period / m_model.peak_length);
        job.window = m_run.peaks ? period_number : service;
        AddJob(job);
      }
    }
  }

  void AddLongJob(std::size_t service, Milliseconds time) {
    std::exponential_distribution<double> run_ms(1.0 / m_model.long_run_ms);
    Job job{.service = service, .work_class = WorkClass::kLong, .arrived = time};
    job.remaining_ms = std::max(run_ms(m_random), kMsPerSecond);
    job.entry = m_jobs.size() % m_dispatchers.size();
    ++m_result.long_submitted;
    AddJob(job);
  }

  void AddJob(const Job& job) {
    m_jobs.push_back(job);
    Schedule({.time = job.arrived, .kind = EventKind::kArrival, .job = m_jobs.size() - 1});
  }

  void Schedule(Event event) {
    event.sequence = ++m_sequence;
    m_events.push(event);
  }

  void Apply(const Event& event) {
    m_now = event.time;
    switch (event.kind) {
      case EventKind::kTick:
        for (std::size_t entry = 0; entry < m_dispatchers.size(); ++entry) {
          Dispatch(entry, ClockTicked{});
        }
        Schedule({.time = m_now + Milliseconds(config::kDispatchTickMs)});
        return;
      case EventKind::kArrival:
        Submit(event.job);
        return;
      case EventKind::kEnd:
        if (m_jobs[event.job].grant == event.grant) EndJob(event.job);
        return;
      case EventKind::kCheckpointed:
        if (m_jobs[event.job].grant == event.grant) CheckpointJob(event.job, event.stopped);
        return;
    }
  }

  void Submit(std::size_t number) {
    const Job& job = m_jobs[number];
    const SlotTicket ticket{.id = ++m_last_ticket};
    m_tickets[ticket.id] = number;
    const bool is_long = job.work_class == WorkClass::kLong;
    const bool declared_long = is_long && m_run.policy != Policy::kFifo;
    SlotRequest request{.service = ServiceNameOf(job.service),
                        .work_class = declared_long ? WorkClass::kLong : WorkClass::kShort,
                        .queue_deadline = is_long ? m_end * 2 : m_model.short_deadline,
                        .age = m_now - job.arrived};
    Dispatch(job.entry, RequestArrived{.ticket = ticket, .request = std::move(request)});
  }

  void Dispatch(std::size_t entry, const DispatchEvent& event) {
    for (const DispatchAction& action : m_dispatchers[entry]->Handle(event, m_now)) {
      std::visit([&](const auto& typed) { Execute(typed); }, action);
    }
  }

  void Execute(const GrantSlot& action) {
    const std::size_t number = m_tickets.at(action.ticket.id);
    Job& job = m_jobs[number];
    job.grant = action.grant.id;
    job.started = m_now;
    if (job.measured) {
      const auto wait = static_cast<double>((m_now - job.arrived).count());
      m_result.windows[job.window].waits_ms.push_back(wait);
    }
    const Milliseconds run(static_cast<std::int64_t>(job.remaining_ms) + 1);
    Schedule({.time = m_now + run, .kind = EventKind::kEnd, .job = number, .grant = job.grant});
  }

  void Execute(const RefuseRequest& action) {
    const Job& job = m_jobs[m_tickets.at(action.ticket.id)];
    if (job.work_class == WorkClass::kLong) ++m_result.long_refused;
    if (job.measured) ++m_result.windows[job.window].refused;
  }

  void Execute(const CheckpointTask& action) {
    if (m_run.policy == Policy::kNoCheckpoint) return;
    const std::size_t number = m_tickets.at(action.grant.id);
    if (m_jobs[number].work_class == WorkClass::kShort) return;
    std::uniform_real_distribution<double> duration(m_model.checkpoint_min_ms,
                                                    m_model.checkpoint_max_ms);
    ++m_result.checkpoints;
    const Milliseconds checkpoint_time(static_cast<std::int64_t>(duration(m_random)));
    Schedule({.time = m_now + checkpoint_time,
              .kind = EventKind::kCheckpointed,
              .job = number,
              .grant = action.grant.id,
              .stopped = m_now});
  }

  static void Execute(const ProbeUpstream&) {}

  void EndJob(std::size_t number) {
    const Job job = m_jobs[number];
    m_jobs[number].grant = 0;
    const Milliseconds run = m_now - job.started;
    if (job.work_class == WorkClass::kLong) {
      ++m_result.long_completed;
      m_result.long_work_ms += static_cast<double>(run.count());
      AddLongJob(job.service, m_now);
    } else {
      m_short_ms += static_cast<double>(run.count());
    }
    Dispatch(job.entry,
             RequestEnded{.grant = job.grant, .outcome = SlotOutcome::kSucceeded, .run_time = run});
  }

  void CheckpointJob(std::size_t number, Milliseconds stopped) {
    Job& job = m_jobs[number];
    const std::uint64_t grant = std::exchange(job.grant, 0);
    const auto progress = static_cast<double>((stopped - job.started).count());
    job.remaining_ms -= progress;
    m_result.long_work_ms += progress;
    Dispatch(job.entry, RequestEnded{.grant = grant,
                                     .outcome = SlotOutcome::kCheckpointed,
                                     .run_time = m_now - m_jobs[number].started});
    Submit(number);
  }

  void CountSlotTime() {
    double slots = 0.0;
    for (const int upstreams : m_model.upstreams) slots += upstreams * m_model.slots;
    m_result.idle_ms = slots * static_cast<double>(m_horizon.count()) - m_short_ms;
    for (const Job& job : m_jobs) {
      if (job.work_class != WorkClass::kLong || job.grant == 0) continue;
      m_result.long_work_ms += static_cast<double>((m_horizon - job.started).count());
    }
  }

  const LoadModel m_model;
  const LoadRun m_run;
  std::mt19937_64 m_random;
  Milliseconds m_end{0};  ///< End of the arrivals of short work.
  Milliseconds m_horizon{0};
  Milliseconds m_now{0};
  std::vector<std::unique_ptr<Dispatcher>> m_dispatchers;
  std::vector<Job> m_jobs;
  std::map<std::uint64_t, std::size_t> m_tickets;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_ticket = 0;
  double m_short_ms = 0.0;
  LoadResult m_result;
};

}  // namespace

double ShortWindow::Percentile(double share) const {
  if (waits_ms.empty()) return 0.0;
  std::vector<double> sorted = waits_ms;
  std::ranges::sort(sorted);
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

LoadResult RunLoad(const LoadModel& model, const LoadRun& run) {
  return Simulation(model, run).Run();
}

}  // namespace endivewood
