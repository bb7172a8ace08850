/// @file
/// msgpack adaptors for the job types.
#pragma once

#include "codec.h"
#include "jobs.h"

MSGPACK_ADD_ENUM(endivewood::JobState)
MSGPACK_ADD_ENUM(endivewood::OrderOutcome)
MSGPACK_ADD_ENUM(endivewood::RunEnd)

// clang-format off
ENDIVEWOOD_CODEC(endivewood::StepSpec, v.count, v.cpu_millicores, v.memory_mb, v.gpus, v.estimate,
                 v.depends, v.gang, v.same_rack, v.required_label, v.data_rack, v.max_per_upstream,
                 v.saves_progress, v.speculative, v.lasting, v.image, v.target_latency,
                 v.best_effort, v.max_unavailable)
ENDIVEWOOD_CODEC(endivewood::JobSpec, v.id, v.queue, v.service, v.payload, v.steps, v.occurrences,
                 v.first_due, v.interval, v.account)
ENDIVEWOOD_CODEC(endivewood::TicketPolicy, v.base_time, v.time_per_upstream, v.ticket_validity)
ENDIVEWOOD_CODEC(endivewood::QueuePolicy, v.priority, v.attempts, v.stretch, v.objective,
                 v.ticket_policy)
ENDIVEWOOD_CODEC(endivewood::TaskKey, v.job, v.occurrence, v.step, v.index)
// Without the payload, which a batch contains once for all tasks of a job.
ENDIVEWOOD_CODEC(endivewood::StartOrder, v.upstream, v.task, v.run, v.lease_until, v.checkpoint,
                 v.ticket)
ENDIVEWOOD_CODEC(endivewood::StopOrder, v.upstream, v.task, v.run)
ENDIVEWOOD_CODEC(endivewood::PaceOrder, v.upstream, v.task, v.run, v.percent)
ENDIVEWOOD_CODEC(endivewood::RenewOrder, v.upstream, v.lease_until, v.acknowledge_up_to, v.wait)
ENDIVEWOOD_CODEC(endivewood::OrderReply, v.outcome, v.clock)
ENDIVEWOOD_CODEC(endivewood::RunningRow, v.task, v.run, v.checkpoint, v.percent, v.usage)
ENDIVEWOOD_CODEC(endivewood::EndedRow, v.number, v.task, v.run, v.end, v.checkpoint)
ENDIVEWOOD_CODEC(endivewood::RenewReply, v.outcome, v.clock, v.start_time, v.running, v.ended,
                 v.more_ended)
// clang-format on
