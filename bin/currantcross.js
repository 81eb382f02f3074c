#!/usr/bin/env node
/**
Runs the `currantcross` command from a checkout, after installing dependencies and building if either is out of date.
*/
await import('../scripts/prepare.js');
await import('../packages/daemon/dist/main.js');
