#include "bench/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace figmill::bench {
namespace {

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

PhaseFigures FiguresOf(Phase phase, PhaseReport& report) {
  PhaseFigures figures;
  figures.phase = NameOf(phase);
  figures.first_token_p50_ms = report.online.first_token_ms.Quantile(0.50);
  figures.first_token_p99_ms = report.online.first_token_ms.Quantile(0.99);
  figures.gap_p95_ms = report.online.gap_ms.Quantile(0.95);
  figures.online_tokens_per_s =
      Ratio(static_cast<double>(report.tokens.online_tokens), report.seconds);
  figures.batch_tokens_per_s =
      Ratio(static_cast<double>(report.tokens.batch_tokens), report.seconds);
  figures.sent = report.online.sent;
  figures.whole = report.online.whole;
  figures.refused = report.online.refused;
  figures.broken = report.online.broken;
  return figures;
}

nlohmann::json ToJsonValue(const PhaseFigures& figures) {
  return {{"phase", figures.phase},
          {"first_token_p50_ms", figures.first_token_p50_ms},
          {"first_token_p99_ms", figures.first_token_p99_ms},
          {"gap_p95_ms", figures.gap_p95_ms},
          {"online_tokens_per_s", figures.online_tokens_per_s},
          {"batch_tokens_per_s", figures.batch_tokens_per_s},
          {"sent", figures.sent},
          {"whole", figures.whole},
          {"refused", figures.refused},
          {"broken", figures.broken}};
}

constexpr int kPlotWidth = 640;
constexpr int kBarHeight = 22;
constexpr int kLabelWidth = 150;

// One row of bars, scaled to the largest value.
std::string Bars(const Summary& summary, std::string_view title, int top,
                 double PhaseFigures::*value) {
  double largest = 0;
  for (const PhaseFigures& figures : summary.phases) largest = std::max(largest, figures.*value);
  std::string svg = fmt::format("<text x='4' y='{}' font-weight='bold'>{}</text>", top, title);
  int y = top + 8;
  for (const PhaseFigures& figures : summary.phases) {
    const double width = (kPlotWidth - kLabelWidth - 90) * Ratio(figures.*value, largest);
    svg += fmt::format("<text x='4' y='{}'>{}</text>", y + 15, figures.phase);
    svg += fmt::format("<rect x='{}' y='{}' width='{:.1f}' height='{}' fill='#4a7'/>", kLabelWidth,
                       y, width, kBarHeight - 4);
    svg += fmt::format("<text x='{:.1f}' y='{}'>{:.1f}</text>", kLabelWidth + width + 6, y + 15,
                       figures.*value);
    y += kBarHeight;
  }
  return svg;
}

}  // namespace

Summary Summarise(PhaseRunner& runner, double engine_bound_tokens_per_s) {
  Summary summary;
  for (const Phase phase : kPhases) {
    summary.phases.push_back(FiguresOf(phase, runner.report(phase)));
  }
  const PhaseFigures& online = summary.phases[static_cast<std::size_t>(Phase::kOnline)];
  const PhaseFigures& batch = summary.phases[static_cast<std::size_t>(Phase::kBatch)];
  const PhaseFigures& both = summary.phases[static_cast<std::size_t>(Phase::kBoth)];
  summary.engine_bound_tokens_per_s = engine_bound_tokens_per_s;
  summary.first_token_p99_ratio = Ratio(both.first_token_p99_ms, online.first_token_p99_ms);
  summary.gap_p95_ratio = Ratio(both.gap_p95_ms, online.gap_p95_ms);
  summary.batch_share_of_rest =
      Ratio(both.batch_tokens_per_s, engine_bound_tokens_per_s - both.online_tokens_per_s);
  summary.batch_alone_share = Ratio(batch.batch_tokens_per_s, engine_bound_tokens_per_s);
  return summary;
}

std::string ToText(const Summary& summary) {
  std::string text = fmt::format(
      "{:<14} {:>11} {:>11} {:>9} {:>10} {:>10} {:>6} {:>6} {:>7} {:>6}\n", "phase", "first p50",
      "first p99", "gap p95", "online/s", "batch/s", "sent", "whole", "refused", "broken");
  for (const PhaseFigures& f : summary.phases) {
    text += fmt::format(
        "{:<14} {:>8.1f} ms {:>8.1f} ms {:>6.1f} ms {:>10.0f} {:>10.0f} {:>6} {:>6} "
        "{:>7} {:>6}\n",
        f.phase, f.first_token_p50_ms, f.first_token_p99_ms, f.gap_p95_ms, f.online_tokens_per_s,
        f.batch_tokens_per_s, f.sent, f.whole, f.refused, f.broken);
  }
  text += fmt::format("online first token p99, both / online only  {:.3f}  (target <= 1.05)\n",
                      summary.first_token_p99_ratio);
  text += fmt::format("online token gap p95, both / online only    {:.3f}  (target <= 1.05)\n",
                      summary.gap_p95_ratio);
  text += fmt::format("batch / (bound - online), both              {:.3f}  (target >= 0.90)\n",
                      summary.batch_share_of_rest);
  text +=
      fmt::format("batch / bound, batch only                   {:.3f}  (bound {:.0f} tokens/s)\n",
                  summary.batch_alone_share, summary.engine_bound_tokens_per_s);
  return text;
}

std::string ToJson(const Summary& summary) {
  nlohmann::json document = {{"engine_bound_tokens_per_s", summary.engine_bound_tokens_per_s},
                             {"first_token_p99_ratio", summary.first_token_p99_ratio},
                             {"gap_p95_ratio", summary.gap_p95_ratio},
                             {"batch_share_of_rest", summary.batch_share_of_rest},
                             {"batch_alone_share", summary.batch_alone_share},
                             {"phases", nlohmann::json::array()}};
  for (const PhaseFigures& figures : summary.phases) {
    document["phases"].push_back(ToJsonValue(figures));
  }
  return document.dump(2) + "\n";
}

std::string ToSvg(const Summary& summary) {
  const int block = static_cast<int>(summary.phases.size()) * kBarHeight + 40;
  std::string svg = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif' font-size='13'>",
      kPlotWidth, 3 * block + 20);
  svg += Bars(summary, "online first token p99, ms", 20, &PhaseFigures::first_token_p99_ms);
  svg += Bars(summary, "online token gap p95, ms", 20 + block, &PhaseFigures::gap_p95_ms);
  svg += Bars(summary, "batch tokens/s", 20 + 2 * block, &PhaseFigures::batch_tokens_per_s);
  return svg + "</svg>\n";
}

}  // namespace figmill::bench
