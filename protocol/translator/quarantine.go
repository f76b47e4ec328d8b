package translator

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
)

// Quarantines converts messages of another node to quarantines. How long they are in force does not depend on that node's clock.
func Quarantines(messages []*schema.Quarantine, now time.Time) []eelgrasspoint.Quarantine {
	return mapSlice(messages, func(m *schema.Quarantine) eelgrasspoint.Quarantine {
		q := quarantineWithoutTime(m)
		q.ExpiresAt = now.Add(m.GetLeft().AsDuration())
		return q
	})
}

// QuarantineMessages converts quarantines to messages to another node.
func QuarantineMessages(quarantines []eelgrasspoint.Quarantine, now time.Time) []*schema.Quarantine {
	return mapSlice(quarantines, func(q eelgrasspoint.Quarantine) *schema.Quarantine {
		m := quarantineMessageWithoutTime(q)
		m.Left = durationpb.New(q.ExpiresAt.Sub(now))
		return m
	})
}

// QuarantineRow converts a quarantine to the message of its row.
func QuarantineRow(q eelgrasspoint.Quarantine) *schema.Quarantine {
	m := quarantineMessageWithoutTime(q)
	m.Wall = uint64(q.ExpiresAt.UnixNano())
	return m
}

// QuarantineFromRow converts the message of a row to a quarantine.
func QuarantineFromRow(m *schema.Quarantine) eelgrasspoint.Quarantine {
	q := quarantineWithoutTime(m)
	q.ExpiresAt = time.Unix(0, int64(m.GetWall()))
	q.Stored = true
	return q
}

func quarantineWithoutTime(m *schema.Quarantine) eelgrasspoint.Quarantine {
	return eelgrasspoint.Quarantine{
		Fingerprint: m.GetFingerprint(), Head: m.GetHead(), Permitted: m.GetPermitted(), Stored: m.GetStored(),
	}
}

func quarantineMessageWithoutTime(q eelgrasspoint.Quarantine) *schema.Quarantine {
	return &schema.Quarantine{Fingerprint: q.Fingerprint, Head: q.Head, Permitted: q.Permitted, Stored: q.Stored}
}

// CrashSuspects converts the requests of a crash report. A report of an earlier version of the program holds fingerprints
// only.
func CrashSuspects(m *schema.CrashedRequest) []eelgrasspoint.CrashSuspect {
	if len(m.GetSuspects()) == 0 {
		return mapSlice(m.GetFingerprints(), func(fingerprint uint64) eelgrasspoint.CrashSuspect {
			return eelgrasspoint.CrashSuspect{Fingerprint: fingerprint, BodyKnown: true}
		})
	}
	return mapSlice(m.GetSuspects(), func(s *schema.CrashSuspect) eelgrasspoint.CrashSuspect {
		return eelgrasspoint.CrashSuspect{
			Head: s.GetHead(), Fingerprint: s.GetFingerprint(), BodyKnown: s.GetBodyKnown(), Permitted: s.GetPermitted(),
		}
	})
}

// CrashSuspectMessage converts a request of a crash report to a message.
func CrashSuspectMessage(s eelgrasspoint.CrashSuspect) *schema.CrashSuspect {
	return &schema.CrashSuspect{Head: s.Head, Fingerprint: s.Fingerprint, BodyKnown: s.BodyKnown, Permitted: s.Permitted}
}
