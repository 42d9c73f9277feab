# Generates a C++ source with a function that returns the contents of a text file: cmake -DINPUT=… -DOUTPUT=… -DHEADER=… -DFUNCTION=… -P.
file(READ "${INPUT}" text)
file(WRITE "${OUTPUT}" "#include \"${HEADER}\"\n\nnamespace bankmux::config {\nstd::string_view ${FUNCTION}() { return R\"embedded(${text})embedded\"; }\n}  // namespace bankmux::config\n")
