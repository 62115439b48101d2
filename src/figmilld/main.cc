#include "figmilld/process.h"

int main(int argc, char** argv) {
  const figmill::Settings settings = figmill::ParseSettings(argc, argv);
  return settings.role == figmill::Role::kEntry ? figmill::RunEntry(settings)
                                                : figmill::RunAgent(settings);
}
