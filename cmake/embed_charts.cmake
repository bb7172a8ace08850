# Writes the text of charts/*.yaml into chart_texts.h, so that an embedder of the library needs no
# files. A changed or new chart configures the build again.
file(GLOB CHARTS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/charts/*.yaml)
set(CHART_TEXTS "")
foreach(chart ${CHARTS})
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${chart})
  get_filename_component(name ${chart} NAME_WE)
  file(READ ${chart} text)
  string(APPEND CHART_TEXTS "inline constexpr char kChart_${name}[] = R\"yaml(${text})yaml\";\n")
  list(APPEND CHART_ENTRIES "{\"${name}\", kChart_${name}}")
endforeach()
list(JOIN CHART_ENTRIES ", " CHART_ENTRIES)
file(CONFIGURE OUTPUT ${CMAKE_BINARY_DIR}/generated/chart_texts.h
     CONTENT "#pragma once\n@CHART_TEXTS@#define ENDIVEWOOD_CHART_TEXTS @CHART_ENTRIES@\n" @ONLY)
