#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

#include "app/console.hpp"
#include "app/key_command.hpp"
#include "app/page_commands.hpp"
#include "app/process_lifecycle.hpp"
#include "app/serve.hpp"
#include "config/config.hpp"
#include "config/schema.hpp"

namespace {

constexpr const char* kVersion = BANKMUX_VERSION;

const char* environment(const char* name) { return std::getenv(name); }

// `bankmux key add|list|revoke`.
CLI::App* key_commands(CLI::App& cli, bankmux::app::KeyCommandOptions& options) {
  CLI::App* key = cli.add_subcommand("key", "Create, list and revoke the API keys of an appliance");
  key->require_subcommand(1);
  key->footer(
      "A running bankmux reloads the file on SIGHUP. Exit codes: 0 success, 1 no such key or the file "
      "cannot be written, 2 invalid file.");
  CLI::App* add = key->add_subcommand("add", "Create a key, print it once, and store its salted hash");
  CLI::App* list = key->add_subcommand("list", "List the keys without their hashes");
  CLI::App* revoke = key->add_subcommand("revoke", "Remove a key from the file");
  for (CLI::App* action : {add, list, revoke}) {
    action->add_option("--keys", options.file, "The key file, as named by 'keys' in the appliance file")
        ->required();
    action->callback([&options, name = action->get_name()] { options.action = name; });
  }
  add->add_option("--tenant", options.tenant, "The tenant that the key's requests count against")->required();
  add->add_option("--model", options.models,
                  "A model that the key may use; repeat for several, omit for all");
  add->add_option("--requests-per-minute", options.requests_per_minute, "Requests per minute; 0: no limit")
      ->check(CLI::NonNegativeNumber);
  add->add_option("--tokens-per-minute", options.tokens_per_minute,
                  "Prompt and answer tokens per minute; 0: no limit")
      ->check(CLI::NonNegativeNumber);
  add->add_option("--open", options.open, "Requests open at the same time; 0: no limit")
      ->check(CLI::NonNegativeNumber);
  add->footer(
      "Example: bankmux key add --keys keys.json --tenant flota-norte --requests-per-minute 600 --open 20");
  list->add_flag("--json", options.json, "Print JSON");
  list->footer("Example: bankmux key list --keys keys.json --json");
  revoke->add_option("ID", options.id, "The key's id as shown by `bankmux key list`: 12 hexadecimal digits")
      ->required();
  revoke->footer("Example: bankmux key revoke 3f9a01c2d4e5 --keys keys.json && kill -HUP $(pidof bankmux)");
  return key;
}

}  // namespace

int main(int argc, char** argv) {
  namespace config = bankmux::config;
  namespace app = bankmux::app;
  CLI::App cli{"bankmux: a conductor between clients and language-model boxes"};
  cli.require_subcommand(1);
  std::string appliance, connect = "127.0.0.1:8081", ledger_key, tenant;
  bool once = false, json = false;
  app::KeyCommandOptions key_options;
  const char* file_help =
      "Serve the OpenAI-compatible chat API as configured in this file instead of the platform's protocol";
  CLI::App* serve =
      cli.add_subcommand("serve", "Serve as configured by PROXY_* and the file named by PROXY_CONFIG");
  serve->add_option("--appliance", appliance, file_help);
  CLI::App* version = cli.add_subcommand("version", "Print the version");
  CLI::App* check = cli.add_subcommand("check-config", "Check the configuration and print its errors");
  check->add_option("--appliance", appliance, "Check this appliance file");
  CLI::App* console = cli.add_subcommand(
      "console", "Show a live view of an appliance's fleet, load, requests, tenants and drains");
  console->add_flag("--once", once, "Print the view once and exit");
  CLI::App* key = key_commands(cli, key_options);
  CLI::App* tenants =
      cli.add_subcommand("tenants", "Show an appliance's tenants: usage, limits and refusals");
  tenants->footer(
      "Example: bankmux tenants --connect 127.0.0.1:8081 --json\n"
      "Exit codes: 0 success, 1 no answer, 2 invalid address.");
  CLI::App* duties =
      cli.add_subcommand("duties", "Show the owner of each duty of an appliance's fleet, and since when");
  duties->footer(
      "Example: bankmux duties --connect 127.0.0.1:8081 --json\n"
      "Exit codes: 0 success, 1 no answer or no 'coordination' configured, 2 invalid address.");
  CLI::App* ledger =
      cli.add_subcommand("ledger", "Query the ledger of requests sent with an Idempotency-Key");
  ledger->require_subcommand(1);
  CLI::App* show =
      ledger->add_subcommand("show", "Show whether the request ran and how a repeat would be answered");
  show->add_option("KEY", ledger_key, "The Idempotency-Key")->required();
  show->add_option("--tenant", tenant, "Only requests of this tenant");
  show->footer(
      "Example: bankmux ledger show pedido-4711 --connect 127.0.0.1:8081\n"
      "Exit codes: 0 found, 1 no entry for the key or no answer, 2 invalid address.");
  for (CLI::App* command : {console, tenants, duties, show}) {
    command->add_option("--connect", connect, "Address of the appliance's operator page")
        ->capture_default_str();
  }
  for (CLI::App* command : {tenants, duties, show}) command->add_flag("--json", json, "Print JSON");
  CLI::App* schema = cli.add_subcommand("schema", "Print the JSON Schema of the appliance file");
  CLI11_PARSE(cli, argc, argv);
  try {
    if (version->parsed()) std::printf("bankmux %s\n", kVersion);
    if (schema->parsed()) {
      const std::string_view text = config::appliance_schema();
      std::fwrite(text.data(), 1, text.size(), stdout);
    }
    if (console->parsed()) return app::console(connect, once);
    if (key->parsed()) return app::key_command(key_options);
    if (tenants->parsed()) return app::tenants_command(connect, json);
    if (duties->parsed()) return app::duties_command(connect, json);
    if (ledger->parsed()) return app::ledger_command(connect, ledger_key, tenant, json);
    if (check->parsed()) {
      const bool platform = appliance.empty();
      const config::Config read = platform ? config::read_config(environment) : config::Config{};
      const std::string listen = platform ? read.listen : config::read_appliance(appliance).listen;
      for (const std::string& key : read.unknown)
        std::printf("ignored: unknown setting 'settings.%s'\n", key.c_str());
      std::printf("ok: listens at %s\n", listen.c_str());
    }
    if (serve->parsed()) {
      app::block_signals();
      if (appliance.empty()) {
        app::serve(config::read_config(environment), [] { return config::reread_config(environment); });
      } else {
        app::serve(config::read_appliance(appliance), [&] { return config::read_appliance(appliance); });
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
