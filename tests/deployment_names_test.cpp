// Behaviour follows the settings: no deployment's own names stand in the sources.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace fs = std::filesystem;

TEST_CASE("No operator's, site's, class's or tenant's name stands in the sources") {
  const std::vector<std::string> names{"quito",          "guayaquil",     "nwffa",          "combustibles",
                                       "flag-questions", "config-review", "rollout-change", "cedarline",
                                       "tidewater",      "ridgeback",     "salmonberry",    "river-hall"};
  int files = 0;
  for (const char* folder : {"src", "include", "simhost"}) {
    for (const auto& entry : fs::recursive_directory_iterator(fs::path(EIDERARCH_ROOT) / folder)) {
      if (!entry.is_regular_file()) continue;
      ++files;
      std::stringstream text;
      text << std::ifstream(entry.path()).rdbuf();
      std::string lower = text.str();
      std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return char(std::tolower(c)); });
      for (const std::string& name : names) {
        INFO(entry.path().string() << " names " << name);
        CHECK(lower.find(name) == std::string::npos);
      }
    }
  }
  CHECK(files > 50);
}
