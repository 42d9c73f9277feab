// `bankmux tenants`, `bankmux ledger show` and `bankmux duties`: one question to a serving appliance's
// operator page. Exit codes: 0 answered, 1 nothing there or no answer, 2 a faulty address.
#pragma once

#include <string>

namespace bankmux::app {

int tenants_command(const std::string& connect, bool json);
int ledger_command(const std::string& connect, const std::string& key, const std::string& tenant, bool json);

int duties_command(const std::string& connect, bool json);

}  // namespace bankmux::app
