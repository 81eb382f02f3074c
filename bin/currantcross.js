#!/usr/bin/env node
/**
The command `currantcross` of a checkout. Installs and builds first where that is needed.
*/
await import('../scripts/prepare.js');
await import('../packages/daemon/dist/main.js');
