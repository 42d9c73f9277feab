// What the cases share: their arguments, the program under test, and its settings.
#pragma once

#include "stand_in.hpp"

namespace stand_in {

// Arguments: the project's root, the folder of the case, a temporary folder. TROUBLE=0 leaves the disruption
// out.
struct Case {
  Case(int argc, char** argv) {
    if (argc != 4) std::exit(kCouldNotRun);
    root = argv[1];
    folder = argv[2];
    temporary = argv[3];
    const char* value = std::getenv("TROUBLE");
    trouble = value == nullptr || std::string(value) != "0";
    record = std::make_unique<Record>(folder + "/record.txt");
    std::signal(SIGPIPE, SIG_IGN);
    // Children end with this process. The limit for a case is 120 s.
    std::signal(SIGALRM, [](int) { _exit(kCouldNotRun); });
    alarm(110);
    record->line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  }
  // Ends the case without destroying what threads still use.
  [[noreturn]] void end(int code, const std::string& why) const {
    record->line((code == kHeld ? "HELD: " : code == kBroken ? "BROKEN: " : "COULD NOT RUN: ") + why);
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    _exit(code);
  }
  void say(const std::string& text) const { record->line(text); }

  std::string root, folder, temporary;
  bool trouble = true;
  std::unique_ptr<Record> record;
};

// The `run` of the deploy file.
constexpr const char* kRun = "exec build/bankmux serve";

// GET of a page; 0 if there was no answer.
inline int get_status(int port, const std::string& path, const std::string& method = "GET") {
  const auto wire = Connection::to(port);
  if (wire == nullptr) return 0;
  wire->send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const auto answer = wire->message(now_s() + 2);
  return answer ? answer->status() : 0;
}

inline bool wait_for_status(int port, const std::string& path, int status, double seconds) {
  const double until_s = now_s() + seconds;
  while (now_s() < until_s) {
    if (get_status(port, path) == status) return true;
    sleep_for(0.02);
  }
  return false;
}

// ---- The platform's protocol ----

// The settings of a small site, in the form of the simulator's first message.
inline std::string platform_settings(double consulta_deadline_s = 7.5, double ajuste_deadline_s = 12.0) {
  return R"({"azs":["quito-norte","quito-sur"],"skus":["lectura","escritura","mixto"],
"categories":[
 {"name":"consulta","effect":"idempotent","group":"all","targetS":1.5,"deadlineS":)" +
         std::to_string(consulta_deadline_s) + R"(,"worth":3.0,"lateWorth":0.3,"stream":true},
 {"name":"ajuste","effect":"at_most_once","group":"all","targetS":2.5,"deadlineS":)" +
         std::to_string(ajuste_deadline_s) + R"(,"worth":2.0,"lateWorth":0.1,"stream":true}],
"familyInfo":{"ahead":true,"aimUsPer1000PromptTokens":[40000.0,40000.0],"dutyByKind":["read","write","both"],
 "releaseWithinS":0.3,"tokenAimS":[0.06,0.08],"tokensByKind":[240118,161613,183938],"writersRead":true},
"nInstances":2,"zone":0,
"policyLimits":{"cancel":true,"connIdleS":15.0,"connectTimeoutS":0.25,"maxAttempts":4,"maxRetryAfterS":2.0,
 "mayProbe":true,"retryAfter":true},
"registryMode":"pushed","report":{"fields":["concurrent"],"how":"pull"},
"rules":{"coldFrom":0.28,"coldS":11.0,"drainGraceS":1.0,"fallS":2.0,"overloadFactor":2.5},
"weights":"rough"})";
}

struct Listed {
  std::string id, kind;
  int port;
  std::string state = "SERVING";
};

inline std::string list_line(int version, const std::vector<Listed>& servers, bool full = true) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (const Listed& server : servers) {
    if (text.back() == '}') text += ',';
    text += "{\"id\":\"" + server.id + "\",\"addr\":\"" + address_of(server.port) +
            "\",\"zone\":\"quito-norte\",\"kind\":\"" + server.kind + "\",\"cell\":0,\"state\":\"" +
            server.state + "\",\"weight\":1.0,\"started_ms\":0}";
  }
  return text + "]}";
}

// The agent of discovery on the conductor's machine: gives the whole list and keeps the watch open.
class Discovery {
 public:
  explicit Discovery(std::string line)
      : line_(std::move(line)), server_([this](Connection& wire) {
          const auto request = wire.message(kForever);
          if (!request) return;
          if (request->first.find("follow=1") == std::string::npos) {
            wire.send(response("200 OK", line_ + "\n"));
            return;
          }
          wire.send(
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(line_ + "\n"));
          while (!wire.closed_within(2)) {
            if (!wire.send(chunk("\n"))) return;
          }
        }) {}
  [[nodiscard]] int port() const { return server_.port(); }

 private:
  std::string line_;
  Server server_;
};

// The PROXY_CONFIG file of one conductor.
inline void write_config(const std::string& path, const std::string& name, int listen_port,
                         int discovery_port, const std::string& known, const std::string& settings) {
  std::ofstream(path) << "{\"name\":\"" << name << "\",\"listen\":\"" << address_of(listen_port)
                      << "\",\"discovery\":\"" << address_of(discovery_port)
                      << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                         "\"sockets\":512},\"known\":"
                      << known << ",\"settings\":" << settings << "}";
}

// One event of an instance's stream, with some tokens of text.
inline std::string token_event(const std::string& text) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text +
         "\"},\"finish_reason\":null}]}\n\n";
}

// The last events of a whole stream.
inline std::string last_events(int prompt_tokens, int answer_tokens) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
         "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":" +
         std::to_string(prompt_tokens) + ",\"completion_tokens\":" + std::to_string(answer_tokens) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
         "data: [DONE]\n\n";
}

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// A client's request as it stands on the wire.
inline std::string platform_request(const std::string& id, const std::string& request_class, int remaining_ms,
                                    int prompt_tokens, int max_out) {
  const std::string text(static_cast<std::size_t>(prompt_tokens) * 4, 'q');
  const std::string body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":" + std::to_string(max_out) +
                           ",\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]}";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id +
         "\r\nX-Lane: " + request_class + "\r\nX-Entity: s-" + id +
         "\r\nX-Remaining-Ms: " + std::to_string(remaining_ms) +
         "\r\nX-Labels: prompt_len=" + std::to_string(prompt_tokens) +
         ",prefix_len=0,max_out=" + std::to_string(max_out) +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace stand_in
