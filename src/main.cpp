#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

#include "app/console.hpp"
#include "app/serve.hpp"
#include "app/wind_down.hpp"
#include "config/config.hpp"
#include "config/schema.hpp"

namespace {

constexpr const char* kVersion = BANKMUX_VERSION;

const char* environment(const char* name) { return std::getenv(name); }

}  // namespace

int main(int argc, char** argv) {
  namespace config = bankmux::config;
  CLI::App cli{"bankmux: a conductor between clients and language-model boxes"};
  cli.require_subcommand(1);
  std::string appliance, connect = "127.0.0.1:8081";
  bool once = false;
  const char* file_help =
      "Serve the OpenAI-style chat API as this file says, instead of the platform's protocol";
  CLI::App* serve = cli.add_subcommand("serve", "Serve as PROXY_* and the file that PROXY_CONFIG names say");
  serve->add_option("--appliance", appliance, file_help);
  CLI::App* version = cli.add_subcommand("version", "Print the version");
  CLI::App* check =
      cli.add_subcommand("check-config", "Read the configuration, say what is wrong with it, and end");
  check->add_option("--appliance", appliance, "Check this file");
  CLI::App* console =
      cli.add_subcommand("console", "Show an appliance's fleet, load, requests and drains live");
  console->add_option("--connect", connect, "Where its operator's page listens")->capture_default_str();
  console->add_flag("--once", once, "Print one picture and end");
  CLI::App* schema = cli.add_subcommand("schema", "Print the JSON Schema of the appliance file");
  CLI11_PARSE(cli, argc, argv);
  try {
    if (version->parsed()) std::printf("bankmux %s\n", kVersion);
    if (schema->parsed()) {
      const std::string_view text = config::appliance_schema();
      std::fwrite(text.data(), 1, text.size(), stdout);
    }
    if (console->parsed()) return bankmux::app::console(connect, once);
    if (check->parsed()) {
      const bool platform = appliance.empty();
      const std::string listen =
          platform ? config::read_config(environment).listen : config::read_appliance(appliance).listen;
      std::printf("ok: listens at %s\n", listen.c_str());
    }
    if (serve->parsed()) {
      bankmux::app::hold_reloads();
      if (appliance.empty()) {
        bankmux::app::serve(config::read_config(environment),
                            [] { return config::reread_config(environment); });
      } else {
        bankmux::app::serve(config::read_appliance(appliance),
                            [&] { return config::read_appliance(appliance); });
      }
    }
  } catch (const config::BadConfig& problem) {
    std::fprintf(stderr, "bankmux: configuration: %s\n", problem.what());
    return 2;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "bankmux: %s\n", problem.what());
    return 1;
  }
  return 0;
}
