// `bankmux tenants`, `bankmux ledger show` and `bankmux duties`: each sends one GET request to the operator
// page of a running appliance and prints the result, as JSON or as text. They return the exit code: 0
// success, 1 no entry found or no valid answer, 2 invalid address.
#pragma once

#include <string>

namespace bankmux::app {

int tenants_command(const std::string& connect, bool json);
int ledger_command(const std::string& connect, const std::string& key, const std::string& tenant, bool json);

int duties_command(const std::string& connect, bool json);

}  // namespace bankmux::app
