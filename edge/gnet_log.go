package edge

import "go.uber.org/zap"

// gnetLogger logs gnet's messages at debug level, since the code that handles an error also logs it. Fatal messages are
// logged as errors.
type gnetLogger struct{ log *zap.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Sugar().Errorf(format, args...) }
