package main

import "context"

func (s *session) console(context.Context) int { return exitFailed }
