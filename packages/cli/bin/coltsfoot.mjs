#!/usr/bin/env node
/** Starts the built tool; it lies here so that npm can link it before a build. */
import "../dist/main.js";
