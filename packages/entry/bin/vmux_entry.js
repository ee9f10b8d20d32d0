#!/usr/bin/env node
import '../dist/src/bin/vmux_entry.js';
