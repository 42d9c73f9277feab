// Tuned values of the decisions: unit and reason for each. Those of the estimates stand beside them in
// src/estimates.
#pragma once

#include "estimates/figures.hpp"

namespace eiderarch {

using namespace std::chrono_literals;

constexpr Tokens kLocalRemainder = 128;  // tokens; up to here a hop costs more than the writer's pause
constexpr Tokens kShortPrompt = 192;     // tokens; a whole prompt this short is never worth a reader's queue
constexpr double kMatchWeight = 1.0;     // share of the prompt kept, against load relative to the mean
constexpr double kLoadWeight = 1.0;      // own tokens at a writer over the mean of its role
constexpr double kSlowWeight = 0.5;      // pace over the median pace of the role
constexpr double kZonePrice = 30.0;      // score that a point of price per crossing weighs at a writer
constexpr double kCrossDear = 0.01;      // points that a crossing costs, from which the own zone comes first
constexpr Duration kRoomAge = 1s;        // how long a server's word on its memory stands for room there
constexpr double kRoomFull = 0.8;       // share of its memory from which a server of the own zone has no room
constexpr double kRoomPace = 2.0;       // times its role's pace, from which it is too slow to come first
constexpr double kTie = 0.05;           // score; nearer than this the rendezvous hash decides
constexpr double kFetchShare = 0.1;     // moving a token costs a writer about this part of reading it
constexpr double kCrossPrice = 20.0;    // seconds that a point of price per crossing is worth
constexpr double kFarPricePace = 6e-3;  // seconds a token that a point of price per token moved is worth
constexpr double kFarPriceMany = 2e-4;  // the same among many fronts: there a cell seldom has a home reader
constexpr double kDoubtWeight = 3.0;    // score; one failure alone outweighs a whole match
constexpr double kHopeless = 0.6;       // failing share from which a writer is left alone while others work
constexpr double kDoubtCost = 4.0;      // seconds that a read which fails is taken to cost
constexpr int kProvenMore = 2;          // own requests over the median that a proven writer may then hold
constexpr Duration kEjectMost = 8s;     // a recovered server is tried again within this
constexpr double kPatience = 3.0;  // times what another server would take, after which it is asked instead
constexpr Duration kPatienceLeast = 500ms;  // shorter waits are within the ordinary spread
constexpr double kPatienceAim = 0.5;  // part of a request's aim, before which nothing is called off: a read
                                      //   begun anew elsewhere costs its work twice, and one on time nothing
constexpr double kOnTime = 0.7;       // part of the time left to the aim that a predicted read may take
constexpr double kClaimFrom = 0.5;    // part of that time, from which a place ahead is worth its price
constexpr double kEase = 0.6;         // part of the time left that read and first token take, from which not
constexpr double kFull = 1.2;         //   all is sent, and at which only tries are: half refused at 0.9
constexpr double kTryPart = 0.1;      // part that is sent all the same, to hear when the jam is over
constexpr std::size_t kHomes = 3;     // home readers of a beginning; a hot one would jam a single home
constexpr double kAway = 2.0;  // times its cost; what is read away from home jams that reader for its own
constexpr double kNearWeight = 0.3;    // score of a writer in the home reader's cell: the state stays inside
constexpr double kCrowd = 1.3;         // of an even load, to which a cell's writers are filled so
constexpr double kDetourBoth = 2.5;    // reader's cost over the writer's own read, from which that one reads:
constexpr double kDetourWriter = 6.0;  //   a pure writer's running answers suffer more
constexpr Duration kFullMemory = 200ms;  // how long a full server is passed over; some work ends by then
constexpr Duration kCutMemory = 3s;      // how long a path on which no state could be fetched is avoided
constexpr double kFillLow = 0.85;      // least and most own tokens at writers over the even share of memory:
constexpr double kFillHigh = 1.1;      //   more oversubscribes them, less refuses where fronts are uneven
constexpr double kFillUp = 0.01;       // rise for each quick first token while requests wait
constexpr double kFillDown = 0.1;      // fall for each slow one
constexpr double kSlowFirst = 0.1;     // part of the aim from which a first token is slow
constexpr double kAnswerShare = 0.25;  // of max_output, expected where no hint is given
constexpr double kColdShare = 0.4;     // of the cold budget, used by all fronts together
constexpr Duration kColdDraw = 1s;     // how long a request that waits stands by its draw
constexpr Duration kRepeatMargin = 20ms;  // before a window ends: the bytes need time too
constexpr double kRetryShare = 0.2;       // further attempts for each new request; bounds what trouble adds
constexpr double kRetryLeast = 2.0;   // attempts saved up at most: what arrives in some seconds, but at least
constexpr double kRetryBurst = 20.0;  //   this and at most that, for many fronts spend their savings at once
constexpr double kStayLeast = 0.5;    // of the longest advice allowed, the shortest given
constexpr unsigned kManyFronts = 8;   // from here on own load is too small a part of what a server has
constexpr double kSeldom = 0.25;      // own sends a second to a server, from which own load tells enough
constexpr Duration kReportAge = 300ms;  // a report this old is asked for anew
constexpr double kMostTold = 1e5;       // thousands of tokens; more is no queue but a fault
constexpr Duration kProof = 3s;         // how long a sign of life spares a box the question whether it runs
constexpr double kWary = 0.1;  // share of connections that failed of late, from which boxes are asked so
constexpr Duration kTrustTold = 1s;        // a report this old is no reason to keep a request back
constexpr Duration kReleaseSlack = 200ms;  // past the release time; on sockets the rule has 300
constexpr Duration kSweep = 20ms;          // period of the sweep; well inside any release time
constexpr Duration kResubscribe = 1s;      // wait after a failed list call
constexpr Duration kReclaim = 40ms;        // how long before a deadline a waiting request is answered

constexpr std::uint64_t kSweepTag = 1;

}  // namespace eiderarch
