#include "admission/admission_control.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "admission/share.hpp"

namespace bankmux::admission {

using namespace std::chrono_literals;

namespace {

// Retry-After for a repeat whose first request is still open, and for a key or tenant that has as many open
// requests as it may have: about the time an answer takes to begin.
constexpr Duration kRetryWhileOpen = 1s;

// How the ledger identifies the request: one that is not marked as a retry may be one all the same, but only
// its key can tell.
RequestIdentity identity_of(const AdmissionRequest& request) {
  const bool retry = request.retry_count > 0;
  if (!request.idempotency_key.empty())
    return retry ? RequestIdentity::client_key_retry : RequestIdentity::client_key;
  return retry ? RequestIdentity::marked_retry : RequestIdentity::first_try;
}

std::string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

std::optional<Caller> AdmissionControl::identify(std::string_view credentials) const {
  if (!keys_) return Caller{};
  const Key* key = keys_->check(credentials);
  if (key == nullptr) return std::nullopt;
  return Caller{key};
}

bool AdmissionControl::may_use(const Caller& caller, const std::string& model) {
  return caller.key == nullptr || ApiKeySet::may_use(*caller.key, model);
}

TenantUsage& AdmissionControl::usage_of(const std::string& tenant) {
  if (usage_.size() >= limits_.max_tenants && !usage_.contains(tenant)) {
    std::erase_if(usage_, [](const auto& entry) { return entry.second.open == 0; });
  }
  TenantUsage& found = usage_[tenant];
  found.name = tenant;
  return found;
}

bool AdmissionControl::within_share(const TenantUsage& tenant) const {
  return may_take_slot(
      tenant.open, {limits_.max_open_requests, open_requests_, active_tenants_ + (tenant.open == 0 ? 1 : 0)});
}

AdmissionResult AdmissionControl::admit(Time now, const Caller& caller, const AdmissionRequest& request) {
  AdmissionResult result;
  Ticket& ticket = result.ticket;
  ticket.reserved = request.reserved_tokens;
  if (caller.key != nullptr) {
    ticket.tenant = caller.key->tenant;
    ticket.key_id = caller.key->id;
    ticket.limits = caller.key->limits;
    result.limit_status = limiter_.limit_status(now, ticket.key_id, ticket.limits);
  }
  TenantUsage& tenant = usage_of(ticket.tenant);
  const auto reject = [&](AdmissionStatus status, std::uint64_t& count, Duration wait) {
    ++count;
    result.status = status;
    result.wait = wait;
    return result;
  };

  // The ledger entry is named by the client's Idempotency-Key. A request without a key whose class must never
  // run twice is named by its session and digest, which a repeat shares with it.
  const bool keyed = !request.idempotency_key.empty();
  ticket.by_key = keyed;
  ticket.once = request.once;
  if (ledger_.limits().entries > 0 && (keyed || request.once)) {
    const std::string name =
        keyed ? request.idempotency_key : "same " + hex(request.session) + " " + hex(request.digest);
    const Ledger::BeginResult begun =
        ledger_.begin(now, ticket.tenant, name, request.digest, request.once, identity_of(request));
    switch (begun.status) {
      case Ledger::BeginStatus::fresh:
        ticket.ledger_entry = begun.number;
        break;
      case Ledger::BeginStatus::running:
        return reject(AdmissionStatus::in_progress, tenant.held_off, kRetryWhileOpen);
      case Ledger::BeginStatus::key_reused:
        return reject(AdmissionStatus::key_reused, tenant.held_off, 0s);
      case Ledger::BeginStatus::ended:
        ++tenant.replayed;
        result.status = AdmissionStatus::replay;
        result.answer = begun.answer;
        return result;
      case Ledger::BeginStatus::full:
        // Without a ledger entry a repeat could run twice: reject the request if that would do harm and its
        // client asked for protection by sending a key.
        if (keyed && request.once)
          return reject(AdmissionStatus::ledger_full, tenant.held_off, kRetryWhileOpen);
        break;
    }
  }

  const auto release_entry = [&] {
    if (ticket.ledger_entry != 0)
      ledger_.end(now, std::exchange(ticket.ledger_entry, 0), false, std::nullopt);
  };
  if (caller.key != nullptr) {
    if (!within_share(tenant)) {
      release_entry();
      return reject(AdmissionStatus::over_share, tenant.over_share, kRetryWhileOpen);
    }
    const Decision decision = limiter_.take(now, ticket.key_id, ticket.limits, ticket.reserved);
    result.limit_status = decision.limit_status;
    if (decision.limited != ExceededLimit::none) {
      release_entry();
      result.limited = decision.limited;
      const bool too_many_tenants = decision.limited == ExceededLimit::too_many_tenants;
      return reject(too_many_tenants ? AdmissionStatus::too_many_tenants : AdmissionStatus::limited,
                    tenant.limited,
                    decision.limited == ExceededLimit::open ? kRetryWhileOpen : decision.wait);
    }
  }
  if (tenant.open++ == 0) ++active_tenants_;
  ++open_requests_;
  ++tenant.admitted;
  return result;
}

void AdmissionControl::record_attempt(const Ticket& ticket, bool may_have_run) {
  if (ticket.ledger_entry != 0) ledger_.record_attempt(ticket.ledger_entry, may_have_run);
}

void AdmissionControl::request_ended(Time now, const Ticket& ticket, RequestResult end) {
  TenantUsage& tenant = usage_of(ticket.tenant);
  if (!ticket.key_id.empty()) {
    if (end.may_have_run) {
      const Tokens used = end.used_tokens.value_or(ticket.reserved);
      limiter_.settle(now, ticket.key_id, ticket.limits, ticket.reserved, used, end.max_tokens);
      tenant.tokens += std::uint64_t(std::clamp<Tokens>(used, 0, std::max<Tokens>(end.max_tokens, 0)));
    } else {
      limiter_.refund_request(now, ticket.key_id, ticket.limits, ticket.reserved);
    }
  }
  if (ticket.ledger_entry != 0)
    ledger_.end(now, ticket.ledger_entry, end.may_have_run, std::move(end.answer));
  if (tenant.open == 0) return;
  if (--tenant.open == 0) --active_tenants_;
  --open_requests_;
}

}  // namespace bankmux::admission
