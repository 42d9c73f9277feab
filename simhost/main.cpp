#include <iostream>

#include "host.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return eiderarch::wire::run_host(std::cin, std::cout, std::cerr);
}
