# A package is packages/NAME (or another DIR) with include/, src/, tests/ and
# bench/.
# PURE packages hold decisions: they may depend on pure packages only, and no
# I/O library is on their include or link path.

add_library(rf_options INTERFACE)
target_compile_options(rf_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow
  -Wconversion -Wno-sign-conversion)
if(RIDGEFERRY_WERROR)
  target_compile_options(rf_options INTERFACE -Werror)
endif()
if(RIDGEFERRY_SANITIZE)
  target_compile_options(rf_options INTERFACE -fsanitize=address,undefined
    -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(rf_options INTERFACE -fsanitize=address,undefined)
endif()

function(rf_package NAME)
  cmake_parse_arguments(PKG "PURE" "DIR" "DEPS;LIBS" ${ARGN})
  if(NOT PKG_DIR)
    set(PKG_DIR packages/${NAME})
  endif()
  set(DIR ${CMAKE_SOURCE_DIR}/${PKG_DIR})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${DIR}/src/*.cpp)
  list(FILTER SOURCES EXCLUDE REGEX "/Main\\.cpp$")
  file(GLOB GENERATED CONFIGURE_DEPENDS ${DIR}/gen-cpp/*.cpp)
  add_library(rf_${NAME} STATIC ${SOURCES} ${GENERATED})
  set_target_properties(rf_${NAME} PROPERTIES RF_PURE "${PKG_PURE}"
    RF_DIR "${DIR}")
  target_include_directories(rf_${NAME} PUBLIC ${DIR}/include PRIVATE ${DIR}/src)
  if(GENERATED)
    target_include_directories(rf_${NAME} SYSTEM PRIVATE ${DIR}/gen-cpp)
    set_source_files_properties(${GENERATED} PROPERTIES COMPILE_OPTIONS "-w")
  endif()
  foreach(DEP ${PKG_DEPS})
    get_target_property(DEP_PURE rf_${DEP} RF_PURE)
    if(PKG_PURE AND NOT DEP_PURE)
      message(FATAL_ERROR
        "package ${NAME} is PURE but depends on ${DEP}, which does I/O")
    endif()
    target_link_libraries(rf_${NAME} PUBLIC rf_${DEP})
  endforeach()
  target_link_libraries(rf_${NAME} PUBLIC ${PKG_LIBS} PRIVATE rf_options)
  if(PKG_PURE AND RIDGEFERRY_SANITIZE)
    # Properties in virtual time spend theirs here and in their tests. Beside
    # sanitizers the optimizer sees uninitialised values where there are none; the
    # optimised build has that warning.
    set(OPTIMISED -O1 -Wno-maybe-uninitialized)
    target_compile_options(rf_${NAME} PRIVATE ${OPTIMISED})
  endif()

  if(NOT RIDGEFERRY_TESTS)
    return()
  endif()
  file(GLOB TESTS CONFIGURE_DEPENDS ${DIR}/tests/*.cpp)
  if(TESTS)
    add_executable(${NAME}_tests ${TESTS})
    target_link_libraries(${NAME}_tests PRIVATE rf_${NAME} rf_options
      GTest::gtest_main rapidcheck)
    target_include_directories(${NAME}_tests PRIVATE ${DIR}/src
      ${CMAKE_SOURCE_DIR}/tests/support)
    target_compile_options(${NAME}_tests PRIVATE ${OPTIMISED})
    if(NOT PKG_PURE)
      target_link_libraries(${NAME}_tests PRIVATE rf_test_support)
    endif()
    set_target_properties(${NAME}_tests PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/unit)
  endif()
  file(GLOB BENCHES CONFIGURE_DEPENDS ${DIR}/bench/*Bench.cpp)
  if(BENCHES)
    add_executable(${NAME}_bench ${BENCHES})
    target_link_libraries(${NAME}_bench PRIVATE rf_${NAME} rf_options
      benchmark::benchmark_main)
    set_target_properties(${NAME}_bench PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
  endif()
endfunction()

function(rf_binary NAME PACKAGE)
  get_target_property(DIR rf_${PACKAGE} RF_DIR)
  add_executable(${NAME} ${DIR}/src/Main.cpp)
  target_link_libraries(${NAME} PRIVATE rf_${PACKAGE} rf_options)
  target_include_directories(${NAME} PRIVATE ${DIR}/src)
  target_compile_definitions(${NAME} PRIVATE
    RIDGEFERRY_VERSION="${PROJECT_VERSION}")
  set_target_properties(${NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  install(TARGETS ${NAME} RUNTIME DESTINATION bin)
endfunction()
