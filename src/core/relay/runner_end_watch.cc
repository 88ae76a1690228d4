#include "core/relay/runner_end_watch.h"

#include <algorithm>

#include "core/relay/runner_end_times.h"

namespace workshatch::relay {

namespace {

/// A cut and a refusal this close together are of one end: a connection takes 300 ms at most to be
/// refused, and a new process takes longer than this to listen again.
constexpr int64_t kCloseTogetherMs = 1000;
/// A runner that keeps breaking answers off is looked at once in this time, since each look costs
/// it a new connection.
constexpr int64_t kBetweenLooksMs = 500;
/// Reports of one relay, at most: 20 ends with twelve requests each.
constexpr size_t kMostReports = 256;

} // namespace

RunnerEndWatch::AfterCut RunnerEndWatch::noteCut(uint64_t runner, const RequestIdentity& request,
                                                 int64_t now_ms) {
  forgetOld(now_ms);
  if (whole_.contains(request, now_ms)) {
    return AfterCut::Nothing;
  }
  Suspect& suspect = suspects_[runner];
  const Cut cut{.request = request, .cut_ms = now_ms};
  if (suspect.refused_ms) {
    report(runner, cut);
    return AfterCut::Report;
  }
  suspect.cuts.push_back(cut);
  if (suspect.looked_ms && now_ms - *suspect.looked_ms < kBetweenLooksMs) {
    return AfterCut::Nothing;
  }
  suspect.looked_ms = now_ms;
  return AfterCut::Look;
}

bool RunnerEndWatch::noteRefused(uint64_t runner, int64_t now_ms) {
  forgetOld(now_ms);
  Suspect& suspect = suspects_[runner];
  suspect.refused_ms = now_ms;
  const bool any = !suspect.cuts.empty();
  for (const Cut& cut : suspect.cuts) {
    report(runner, cut);
  }
  suspect.cuts.clear();
  return any;
}

void RunnerEndWatch::noteListening(uint64_t runner) {
  const auto found = suspects_.find(runner);
  if (found != suspects_.end()) {
    found->second.cuts.clear();
    found->second.refused_ms.reset();
  }
}

void RunnerEndWatch::report(uint64_t runner, const Cut& cut) {
  reports_.push_back(Report{.request = cut.request, .runner = runner, .ended_ms = cut.cut_ms});
  ++untold_;
  if (reports_.size() > kMostReports) {
    reports_.pop_front();
    untold_ = std::min(untold_, reports_.size());
  }
}

void RunnerEndWatch::forgetOld(int64_t now_ms) {
  for (auto& [runner, suspect] : suspects_) {
    std::erase_if(suspect.cuts,
                  [&](const Cut& cut) { return now_ms - cut.cut_ms >= kCloseTogetherMs; });
    if (suspect.refused_ms && now_ms - *suspect.refused_ms >= kCloseTogetherMs) {
      suspect.refused_ms.reset();
    }
  }
  std::erase_if(suspects_, [&](const auto& entry) {
    const Suspect& suspect = entry.second;
    const bool looked = suspect.looked_ms && now_ms - *suspect.looked_ms < kBetweenLooksMs;
    return suspect.cuts.empty() && !suspect.refused_ms && !looked;
  });
  while (!reports_.empty() && now_ms - reports_.front().ended_ms >= kEndCountsMs) {
    reports_.pop_front();
  }
  untold_ = std::min(untold_, reports_.size());
}

void RunnerEndWatch::fill(v1::LeaseRenewal& renewal, bool first_on_link, int64_t now_ms) {
  forgetOld(now_ms);
  const size_t told = first_on_link ? 0 : reports_.size() - untold_;
  for (size_t i = told; i < reports_.size(); ++i) {
    v1::RunnerEnd* end = renewal.add_runner_ends();
    *end->mutable_request() = messageOf(reports_[i].request);
    end->set_runner(reports_[i].runner);
    end->set_age_ms(static_cast<uint32_t>(now_ms - reports_[i].ended_ms));
  }
  untold_ = 0;
}

} // namespace workshatch::relay
