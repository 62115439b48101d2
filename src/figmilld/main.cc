#include <iostream>

#include "figmilld/process.h"
#include "platform/adapter.h"

namespace {

int Run(const figmill::Settings& settings) {
  figmill::StartLogging("figmilld", settings.common.log_level);
  return settings.role == figmill::Role::kEntry ? figmill::RunEntry(settings)
                                                : figmill::RunAgent(settings);
}

int Run(const figmill::GatewaySettings& settings) {
  figmill::StartLogging("figmilld", settings.log_level);
  return figmill::RunGateway(settings, *figmill::users::MakeAdapter());
}

int Leave(const figmill::EarlyExit& exit) {
  (exit.code == 0 ? std::cout : std::cerr) << exit.text;
  return exit.code;
}

}  // namespace

int main(int argc, char** argv) {
  return std::visit(
      figmill::Overloaded{[](const figmill::Settings& settings) { return Run(settings); },
                          [](const figmill::GatewaySettings& settings) { return Run(settings); },
                          [](const figmill::EarlyExit& exit) { return Leave(exit); }},
      figmill::ParseSettings(argc, argv));
}
