/// @file
/// msgpack adaptors for the job types.
#pragma once

#include "codec.h"
#include "jobs.h"

MSGPACK_ADD_ENUM(endivewood::JobState)

// clang-format off
ENDIVEWOOD_CODEC(endivewood::StepSpec, v.count, v.cpu_millicores, v.memory_mb, v.gpus, v.estimate,
                 v.depends, v.gang, v.same_rack, v.required_label, v.data_rack, v.max_per_upstream,
                 v.saves_progress, v.speculative, v.lasting, v.image, v.target_latency,
                 v.best_effort, v.max_unavailable)
ENDIVEWOOD_CODEC(endivewood::JobSpec, v.id, v.queue, v.service, v.payload, v.steps, v.occurrences,
                 v.first_due, v.interval)
ENDIVEWOOD_CODEC(endivewood::TicketPolicy, v.base_time, v.time_per_upstream, v.ticket_validity)
ENDIVEWOOD_CODEC(endivewood::QueuePolicy, v.priority, v.attempts, v.stretch, v.objective,
                 v.ticket_policy)
// clang-format on
