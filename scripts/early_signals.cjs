// A signal to reload settings may come while the daemon still loads, and would end it.
// The settings are read after that, and again where their file has changed.
process.on('SIGHUP', () => undefined);
