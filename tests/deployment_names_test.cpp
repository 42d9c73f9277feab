// Behaviour depends on the settings alone, so the sources must not contain names of any particular
// deployment.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace fs = std::filesystem;

TEST_CASE("The sources contain no name of an operator, site, class or tenant") {
  const std::vector<std::string> deployment_names{
      "quito",          "guayaquil", "nwffa",     "combustibles", "flag-questions", "config-review",
      "rollout-change", "cedarline", "tidewater", "ridgeback",    "salmonberry",    "river-hall"};
  int checked_files = 0;
  for (const char* folder : {"src", "include", "simhost"}) {
    for (const auto& entry : fs::recursive_directory_iterator(fs::path(EIDERARCH_ROOT) / folder)) {
      if (!entry.is_regular_file()) continue;
      ++checked_files;
      std::stringstream contents;
      contents << std::ifstream(entry.path()).rdbuf();
      std::string lowercase_text = contents.str();
      std::ranges::transform(lowercase_text, lowercase_text.begin(),
                             [](unsigned char c) { return char(std::tolower(c)); });
      for (const std::string& name : deployment_names) {
        INFO(entry.path().string() << " contains " << name);
        CHECK(lowercase_text.find(name) == std::string::npos);
      }
    }
  }
  CHECK(checked_files > 50);
}
