#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

#include "app/serve.hpp"
#include "config/config.hpp"

namespace {

constexpr const char* kVersion = BANKMUX_VERSION;

const char* environment(const char* name) { return std::getenv(name); }

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli{"bankmux: a conductor between clients and language-model instances"};
  cli.require_subcommand(1);
  CLI::App* serve = cli.add_subcommand("serve", "Serve as PROXY_* and the file that PROXY_CONFIG names say");
  CLI::App* version = cli.add_subcommand("version", "Print the version");
  CLI::App* check =
      cli.add_subcommand("check-config", "Read the configuration, say what is wrong with it, and end");
  CLI11_PARSE(cli, argc, argv);
  try {
    if (version->parsed()) std::printf("bankmux %s\n", kVersion);
    if (check->parsed()) {
      const auto config = bankmux::config::read_config(environment);
      std::printf("ok: %s listens at %s\n", config.name.c_str(), config.listen.c_str());
    }
    if (serve->parsed()) return bankmux::app::serve(bankmux::config::read_config(environment));
  } catch (const bankmux::config::BadConfig& problem) {
    std::fprintf(stderr, "bankmux: configuration: %s\n", problem.what());
    return 2;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "bankmux: %s\n", problem.what());
    return 1;
  }
  return 0;
}
