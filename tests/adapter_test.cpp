// Line protocol of the simhost adapter: settings and events are decoded, actions are encoded, and malformed
// input is reported with its line number.
#include <gtest/gtest.h>

#include <sstream>

#include "codec.hpp"
#include "host.hpp"

namespace eiderarch::wire {
namespace {

using namespace std::chrono_literals;

constexpr const char* kInit =
    R"({"type":"INIT","who":"front_0","rngSeed":5,"options":{"zone":0,"nInstances":2,"somethingNew":[1,2],)"
    R"("categories":[{"deadlineS":6.0,"effect":"at_most_once","targetS":1.2,"worth":5.0,"lateWorth":0.1}],)"
    R"("familyInfo":{"ahead":true,"resume":true,"writersRead":true,"dutyByKind":["read","write"],)"
    R"("tokensByKind":[1000.0,2000.0],"aimUsPer1000PromptTokens":[40000.0],)"
    R"("tokenAimS":[0.06],"releaseWithinS":0.3},)"
    R"("policyLimits":{"cancel":true,"maxAttempts":4},"rules":{"drainGraceS":0.25,"coldFrom":0.3},)"
    R"("registryMode":"on_request","report":{"how":"pull"},"weights":"rough","tenants":[{"quotaRps":4.5}]}})";

struct Result {
  int code = 0;
  std::string out;
  std::string err;
};

Result run(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  std::ostringstream err;
  Result result;
  result.code = run_host(in, out, err);
  result.out = out.str();
  result.err = err.str();
  return result;
}

const std::string kSync = "{\"type\":\"SYNC\",\"atTimeS\":1.0}\n";
const std::string kEob = "{\"type\":\"EOB\"}\n";
const std::string kList = R"({"type":"PEERS_KNOWN","who":"front_0","version":1,"scope":"disk","rowsIn":[)"
                          R"({"engine":1,"state":"live","hw":0},{"engine":2,"state":"live","hw":1}]})"
                          "\n";
const std::string kRequest =
    R"({"type":"REQUEST","who":"front_0","txn":7,"nMax":10,"inputLen":3000,"deadlineS":6.5,"talk":"s-a"})"
    "\n";

TEST(Codec, SettingsAreRead) {
  const Settings s = decode_settings(parse_object(kInit));
  EXPECT_EQ(s.seed, 5U);
  EXPECT_EQ(s.fronts, 2U);
  ASSERT_EQ(s.classes.size(), 1U);
  EXPECT_EQ(s.classes[0].effect, Effect::unsafe);
  EXPECT_EQ(s.classes[0].aim, 1200ms);
  EXPECT_EQ(s.classes[0].aim_per_kilotoken, 40ms);
  EXPECT_EQ(s.classes[0].token_aim, 60ms);
  ASSERT_EQ(s.kinds.size(), 2U);
  EXPECT_EQ(s.kinds[1].role, Role::writer);
  EXPECT_EQ(s.kinds[1].memory, 2000);
  EXPECT_EQ(s.rules.release_within, 300ms);
  EXPECT_EQ(s.rules.drain_grace, 250ms);
  EXPECT_EQ(s.list_mode, ListMode::on_request);
  EXPECT_EQ(s.report_mode, ReportMode::probes);
  EXPECT_EQ(s.rating, Rating::rough);
  EXPECT_TRUE(s.claim_ahead && s.resume && s.writers_read && s.limits.cancel);
  EXPECT_DOUBLE_EQ(s.tenants.at(0).quota_per_second, 4.5);
}

TEST(Codec, EveryOutcomeIsRead) {
  const std::pair<const char*, Outcome> outcomes[] = {{"done", Outcome::served},
                                                      {"err", Outcome::error},
                                                      {"busy", Outcome::busy},
                                                      {"etimedout", Outcome::timed_out},
                                                      {"econnrefused", Outcome::not_connected},
                                                      {"econnreset", Outcome::reset},
                                                      {"ecanceled", Outcome::cancelled},
                                                      {"skipped", Outcome::skipped},
                                                      {"handover", Outcome::state_held}};
  for (const auto& [name, outcome] : outcomes) {
    Json m = {{"txn", 3}, {"trial", 1}, {"engine", 9}, {"outcome", name}, {"elapsedS", 0.25}, {"last", true}};
    m["usage"] = {{"mean_ms", 12.5}, {"x1", 2.0}};
    const auto event = decode_event("DONE", m);
    ASSERT_TRUE(event.has_value());
    const auto& ended = std::get<AttemptEnded>(*event);
    EXPECT_EQ(ended.outcome, outcome);
    EXPECT_EQ(ended.elapsed, 250ms);
    EXPECT_TRUE(ended.request_over);
    EXPECT_EQ(ended.report.size(), 2U);
  }
}

TEST(Codec, KeysAreEqualForEqualTextAndZeroForNone) {
  const auto key = [](const char* talk) {
    return std::get<RequestArrived>(
               *decode_event("REQUEST", {{"txn", 1}, {"deadlineS", 2.0}, {"talk", talk}}))
        .session;
  };
  EXPECT_EQ(key("abc"), key("abc"));
  EXPECT_NE(key("abc"), key("abd"));
  EXPECT_EQ(key(""), 0U);
}

TEST(Codec, ActionsAreWritten) {
  const auto written = [](const Action& action) { return Json::parse(encode_action("front_1", action)); };
  EXPECT_EQ(written(Send{7, 9, 80ms}),
            Json({{"type", "TRY"}, {"who", "front_1"}, {"txn", 7}, {"engine", 9}, {"capS", 0.08}}));
  EXPECT_EQ(written(Send{7, 9, 0s}), Json({{"type", "TRY"}, {"who", "front_1"}, {"txn", 7}, {"engine", 9}}));
  EXPECT_EQ(written(Cancel{7, 2})["trial"], 2);
  EXPECT_EQ(written(Refuse{7, 250ms})["waitS"], 0.25);
  EXPECT_EQ(written(Fail{7})["type"], "END_FAILED");
  EXPECT_EQ(written(Move{7})["type"], "TRANSFER");
  EXPECT_EQ(written(ClaimWriter{7, 9})["engine"], 9);
  EXPECT_EQ(written(Release{7})["type"], "DROP_STATE");
  EXPECT_EQ(written(Probe{9})["type"], "INSPECT");
  EXPECT_EQ(written(SetTimer{1, 1500ms}),
            Json({{"type", "WAKE_ME"}, {"who", "front_1"}, {"tag", "1"}, {"fireAtS", 1.5}}));
  EXPECT_EQ(written(Subscribe{})["on"], true);
  EXPECT_EQ(written(FetchList{})["type"], "REFRESH");
  EXPECT_EQ(written(Log{"text"})["message"], "text");
}

TEST(Host, EmptyBatchIsAnswered) {
  const Result r = run(kSync + kEob);
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "{\"type\":\"READY\"}\n");
  EXPECT_TRUE(r.err.empty());
}

TEST(Host, ARequestIsSent) {
  const Result r = run(kSync + kInit + "\n" + kList + kRequest + kEob);
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_NE(r.out.find(R"("txn":7,"type":"TRY")"), std::string::npos) << r.out;
}

TEST(Host, ADetachedInstanceWritesNothing) {
  const Result r =
      run(kSync + kInit + "\n" + kList + kRequest + "{\"type\":\"DETACH\",\"who\":\"front_0\"}\n" + kEob);
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "{\"type\":\"READY\"}\n");
}

TEST(Host, UnknownEventsAndFieldsAreSkipped) {
  const Result r = run(kSync + R"({"type":"NEWS","who":"front_0","x":1})" + "\n" +
                       R"({"type":"EOB","later":true})" + "\n");
  EXPECT_EQ(r.code, 0);
}

TEST(Host, MalformedLinesAreReportedAndEndTheRun) {
  const std::pair<std::string, std::string> cases[] = {
      {"nonsense\n", "line 1: not JSON"},
      {"[1]\n", "line 1: not an object"},
      {"{\"who\":1}\n", "line 1: field 'type' is missing"},
      {"{\"type\":\"SYNC\"}\n", "line 1: field 'atTimeS' is missing"},
      {kRequest, "line 1: 'REQUEST' outside a batch"},
      {kSync + kSync, "line 2: a batch begins inside a batch"},
      {kSync + "{\"type\":\"LAPSED\",\"who\":\"front_0\"}\n", "line 2: field 'txn' is missing"},
      {kSync + "{\"type\":\"LAPSED\",\"who\":\"front_0\",\"txn\":\"x\"}\n",
       "line 2: field 'txn' is not a whole number"},
      {kSync + "{\"type\":\"LAPSED\",\"who\":\"front_0\",\"txn\":-4}\n",
       "line 2: field 'txn' is not a whole number"},
      {kSync + "{\"type\":\"INIT\",\"who\":\"front_0\"}\n", "line 2: field 'options' is missing"},
      {kSync, "line 1: input ends inside a batch"}};
  for (const auto& [text, problem] : cases) {
    const Result r = run(text);
    EXPECT_NE(r.code, 0) << text;
    EXPECT_EQ(r.err.rfind(problem, 0), 0U) << r.err;
    EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1);
  }
}

TEST(Host, CrashIsEncodedAsValidJson) {
  EXPECT_EQ(Json::parse(encode_crash("front_2", "bad \xff")).at("type"), "CRASH");
}

}  // namespace
}  // namespace eiderarch::wire
