// Tuned constants of the decisions, each with its unit and reason. Those of the estimates are declared in
// src/estimates.
#pragma once

#include "estimates/figures.hpp"

namespace eiderarch {

using namespace std::chrono_literals;

// ---- Where to prefill ----

// Tokens. Up to this many uncached tokens, a transfer costs more than the pause that local prefill causes at
// the decode instance.
constexpr Tokens kMaxLocalPrefillTokens = 128;
// Tokens. A whole prompt this short is never worth the queue of a prefill instance.
constexpr Tokens kShortPromptTokens = 192;

// ---- Score of a decode instance ----

constexpr double kCachedShareWeight = 1.0;  // weight of the cached share of the prompt
constexpr double kLoadWeight = 1.0;         // weight of own tokens at an instance over the mean of its role
constexpr double kPaceWeight = 0.5;         // weight of the pace over the median pace of the role
constexpr double kCrossZoneScore = 30.0;    // score per unit of the price for crossing zones
constexpr double kExpensiveCrossZonePrice =
    0.01;  // price for crossing zones above which the own zone comes first
// How long a memory report counts as evidence that an instance has free memory.
constexpr Duration kMaxMemoryReportAge = 1s;
// Used share of its memory from which an instance of the own zone counts as full.
constexpr double kLocalMemoryLimit = 0.8;
// Multiple of its role's median pace from which an instance is too slow to be preferred for its zone.
constexpr double kLocalPaceLimit = 2.0;
constexpr double kScoreTie = 0.05;  // score difference up to which the rendezvous hash decides
constexpr double kFetchWorkShare =
    0.1;  // a decode instance's work to fetch a token, relative to prefilling it
constexpr double kCrossZoneSeconds = 20.0;  // seconds per unit of the price for crossing zones
// Seconds per token and unit of the price for moving tokens out of their cell.
constexpr double kMovePriceSeconds = 6e-3;
// The same with many fronts, where the decode instance's cell seldom contains a home prefill instance.
constexpr double kMovePriceSecondsManyFronts = 2e-4;

// ---- Failures, ejection and cancellation ----

constexpr double kFailureWeight = 3.0;  // score per failure share; one failure outweighs a full cache match
// Failure share above which a decode instance gets no requests while others work.
constexpr double kMaxFailureShare = 0.6;
constexpr double kFailureCostSeconds = 4.0;  // seconds that a failed prefill is assumed to cost
// Own requests above the median that an instance known to work may hold while its role fails.
constexpr int kProvenExtraRequests = 2;
constexpr Duration kMaxEjection =
    8s;  // longest ejection: a recovered instance is tried again within this time
// Multiple of the time that another instance would take, after which an attempt is cancelled and retried
// there.
constexpr double kOverdueFactor = 3.0;
constexpr Duration kMinOverdue = 500ms;  // shorter waits are within normal variation
// Share of the request's time to its aim before which nothing is cancelled: a prefill restarted elsewhere
// does its work twice, and one that ends on time costs nothing.
constexpr double kMinOverdueAimShare = 0.5;

// ---- Admission ----

constexpr double kPrefillAimShare =
    0.7;  // share of the time left to the aim that a predicted prefill may take
// Share of the time left to the aim from which reserving a decode instance ahead is worth its price.
constexpr double kReserveFromAimShare = 0.5;
// Pressure, which is the share of the time left that prefill and first token take, above which only a part of
// the requests is sent.
constexpr double kLowPressure = 0.6;
// Pressure from which only kMinAdmittedShare of the requests is sent; at 0.9 half of them are refused.
constexpr double kHighPressure = 1.2;
// Share of the requests that is always sent, to detect the end of an overload.
constexpr double kMinAdmittedShare = 0.1;

// ---- Choice of a prefill instance ----

constexpr std::size_t kHomesPerPrefix =
    3;  // home instances per prefix; a popular prefix would overload a single one
// Cost factor of an instance that is no home of the prefix: prefills there delay its own sessions.
constexpr double kNonHomeCostFactor = 2.0;
// Score for a decode instance in the home prefill instance's cell, where the KV cache stays within the cell.
constexpr double kHomeCellScore = 0.3;
// Multiple of an even load up to which a cell's decode instances are preferred.
constexpr double kCellLoadFactor = 1.3;
// Cost of a separate prefill over local prefill, above which a mixed instance prefills itself.
constexpr double kMixedDetourFactor = 2.5;
// The same for a decode instance, whose running answers suffer more.
constexpr double kDecodeDetourFactor = 6.0;

// ---- Memory of decode instances ----

// How long an instance that was full is avoided; some of its work ends by then.
constexpr Duration kBusyAvoidance = 200ms;
// How long a path over which no KV cache could be fetched is avoided.
constexpr Duration kFailedPathAvoidance = 3s;
// Own tokens at a decode instance over this front's even share of its memory: least and most. More
// oversubscribes the memory; less refuses requests where traffic differs between fronts.
constexpr double kMinMemoryFill = 0.85;
constexpr double kMaxMemoryFill = 1.1;
constexpr double kMemoryFillIncrease = 0.01;     // increase for each quick first token while requests wait
constexpr double kMemoryFillDecrease = 0.1;      // decrease for each slow one
constexpr double kSlowFirstTokenAimShare = 0.1;  // share of the aim from which a first token is slow
constexpr double kExpectedOutputShare = 0.25;    // share of max_output expected where a request gives no hint

// ---- Slow start ----

constexpr double kSlowStartShare = 0.4;        // share of the slow-start budget that all fronts together use
constexpr Duration kSlowStartDrawPeriod = 1s;  // how long a waiting request keeps the result of its draw

// ---- Retries ----

constexpr Duration kRepeatMargin = 20ms;  // before a repeat window ends: sending the bytes takes time
constexpr double kRetriesPerRequest =
    0.2;  // retries granted per new request; limits the load that failures add
// Limits of the saved retries, which otherwise are at most the arrivals of the last few seconds. The upper
// limit is there because many fronts spend their savings at once.
constexpr double kMinRetryBudget = 2.0;
constexpr double kMaxRetryBudget = 20.0;
constexpr double kMinRetryAdviceShare = 0.5;  // shortest retry advice, as a share of the longest allowed

// ---- Probes and load reports ----

// Number of fronts from which a front's own load is too small a part of an instance's load to estimate it.
constexpr unsigned kManyFronts = 8;
// Own requests per second to an instance from which own load is a sufficient estimate.
constexpr double kSparseRequestRate = 0.25;
constexpr Duration kMaxReportAge = 300ms;       // age from which a report is requested again
constexpr double kMaxReportedKilotokens = 1e5;  // thousands of tokens; a longer reported queue is an error
// How long after a sign of life an instance is not probed for liveness.
constexpr Duration kLivenessValidity = 3s;
// Share of recent connection attempts that failed, from which instances are probed for liveness.
constexpr double kProbeFromFailureShare = 0.1;
constexpr Duration kReportValidity = 1s;  // age from which a report is no reason to hold a request back

// ---- Timers ----

constexpr Duration kReleaseSlack = 200ms;   // beyond the release time; the rule for sockets allows 300 ms
constexpr Duration kSweepPeriod = 20ms;     // period of the sweep; well below any release time
constexpr Duration kResubscribeDelay = 1s;  // delay after a failed request for the list
constexpr Duration kDeadlineMargin = 40ms;  // how long before its deadline a waiting request is answered

constexpr std::uint64_t kSweepTag = 1;

}  // namespace eiderarch
